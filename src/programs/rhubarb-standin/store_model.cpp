#include "store_model.hpp"

#include <algorithm>
#include <utility>

namespace rhubarbpath::standin {

store_response store_model::handle(const store_request& request, instant now) {
  advance(now);
  return std::visit([&](const auto& typed) { return on(typed, now); }, request);
}

store_response store_model::on(const store_get& request, instant /*now*/) {
  store_rows found;
  if (const auto it = rows_.find(request.key); it != rows_.end()) {
    found.rows.push_back(it->second.row);
  }
  return found;
}

store_response store_model::on(const store_put& request, instant /*now*/) {
  if (request.value.size() > max_store_value_bytes) {
    return store_failure::invalid;
  }
  if (revision_of(request.key) != request.expected) {
    return store_failure::conflict;
  }
  if (request.lease.value() != 0 && !leases_.contains(request.lease)) {
    return store_failure::invalid;
  }
  const revision at{++last_revision_};
  rows_[request.key] = {
      .row = {.key = request.key, .value = request.value, .at = at, .written_by = request.id},
      .bound_to = request.lease};
  notify(request.key);
  return store_written{.at = at};
}

store_response store_model::on(const store_erase& request, instant /*now*/) {
  const auto current = revision_of(request.key);
  if (current.value() != 0 && request.expected.value() != 0 && current != request.expected) {
    return store_failure::conflict;
  }
  rows_.erase(request.key);
  const revision at{++last_revision_};
  notify(request.key);
  return store_written{.at = at};
}

store_response store_model::on(const store_list& request, instant /*now*/) {
  store_rows found;
  for (auto it = rows_.lower_bound(std::max(request.prefix, request.start)); it != rows_.end(); ++it) {
    if (!it->first.starts_with(request.prefix)) {
      break;
    }
    if (found.rows.size() >= static_cast<std::size_t>(std::max(request.limit, 1))) {
      found.more = true;
      break;
    }
    found.rows.push_back(it->second.row);
  }
  return found;
}

store_response store_model::on(const store_lease_grant& request, instant now) {
  const store_lease_id id{++last_lease_};
  leases_[id] = {.time_to_live = request.time_to_live, .expires = now + request.time_to_live};
  return store_lease_granted{.lease = id, .time_to_live = request.time_to_live};
}

store_response store_model::on(const store_lease_renew& request, instant now) {
  const auto found = leases_.find(request.lease);
  if (found == leases_.end()) {
    return store_failure::conflict;
  }
  found->second.expires = now + found->second.time_to_live;
  return store_lease_granted{.lease = request.lease, .time_to_live = found->second.time_to_live};
}

store_response store_model::on(const store_watch& request, instant now) {
  return revision_of(request.key) > request.after ? on(store_get{.key = request.key}, now)
                                                  : store_response{store_unchanged{}};
}

void store_model::watch(const store_watch& request, instant now, watch_callback answer) {
  // A deleted key has no revision, so the watch is answered at once.
  const bool deleted = revision_of(request.key).value() == 0 && request.after.value() != 0;
  if (deleted || revision_of(request.key) > request.after) {
    answer(on(store_get{.key = request.key}, now));
    return;
  }
  watches_.push_back({.request = request, .expires = now + request.wait, .answer = std::move(answer)});
}

void store_model::advance(instant now) {
  std::vector<std::string> lapsed;
  for (const auto& [key, stored] : rows_) {
    const auto bound_lease = leases_.find(stored.bound_to);
    if (stored.bound_to.value() != 0 &&
        (bound_lease == leases_.end() || bound_lease->second.expires <= now)) {
      lapsed.push_back(key);
    }
  }
  std::erase_if(leases_, [now](const auto& entry) { return entry.second.expires <= now; });
  for (const auto& key : lapsed) {
    rows_.erase(key);
    ++last_revision_;
    notify(key);
  }
  const auto first_expired = std::stable_partition(
      watches_.begin(), watches_.end(), [now](const auto& waiting) { return waiting.expires > now; });
  std::vector<waiting_watch> expired{std::make_move_iterator(first_expired),
                                     std::make_move_iterator(watches_.end())};
  watches_.erase(first_expired, watches_.end());
  for (const auto& waiting : expired) {
    waiting.answer(store_unchanged{});
  }
}

revision store_model::revision_of(const std::string& key) const {
  const auto found = rows_.find(key);
  return found == rows_.end() ? revision{} : found->second.row.at;
}

void store_model::notify(const std::string& key) {
  const auto first_match = std::stable_partition(
      watches_.begin(), watches_.end(), [&](const auto& waiting) { return waiting.request.key != key; });
  std::vector<waiting_watch> matching{std::make_move_iterator(first_match),
                                      std::make_move_iterator(watches_.end())};
  watches_.erase(first_match, watches_.end());
  for (const auto& waiting : matching) {
    waiting.answer(on(store_get{.key = key}, instant{}));
  }
}

}  // namespace rhubarbpath::standin
