#include "rhubarbpath/coordination/view.hpp"

#include <absl/status/status.h>
#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <iterator>
#include <utility>

#include "hashing.hpp"

namespace rhubarbpath {

namespace detail {

std::uint64_t stable_hash(std::string_view text) {
  return XXH64(text.data(), text.size(), 0);
}

}  // namespace detail

namespace {

bool by_id(const member_info& left, const member_info& right) {
  return left.id < right.id;
}

std::vector<member_info> difference(const std::vector<member_info>& from,
                                    const std::vector<member_info>& without) {
  std::vector<member_info> result;
  std::set_difference(from.begin(), from.end(), without.begin(), without.end(), std::back_inserter(result),
                      by_id);
  return result;
}

void append_member(std::string& text, char kind, const member_info& member) {
  text += kind;
  text += ' ' + member.id.vm.value() + ' ' + std::to_string(member.id.incarnation.value()) + ' ' +
          member.failure_domain.value() + ' ' + member.address + '\n';
}

std::vector<std::string_view> split(std::string_view text, char separator) {
  std::vector<std::string_view> parts;
  for (auto end = text.find(separator); end != std::string_view::npos; end = text.find(separator)) {
    parts.push_back(text.substr(0, end));
    text.remove_prefix(end + 1);
  }
  parts.push_back(text);
  return parts;
}

bool parse_number(std::string_view text, std::uint64_t& value) {
  const auto* const end = text.data() + text.size();
  const auto result = std::from_chars(text.data(), end, value);
  return result.ec == std::errc{} && result.ptr == end;
}

std::optional<member_info> parse_member(const std::vector<std::string_view>& fields) {
  std::uint64_t incarnation_value = 0;
  if (fields.size() != 5 || fields[1].empty() || !parse_number(fields[2], incarnation_value)) {
    return std::nullopt;
  }
  return member_info{.id = {vm_id{fields[1]}, incarnation{incarnation_value}},
                     .failure_domain = failure_domain_id{fields[3]},
                     .address = std::string{fields[4]}};
}

bool strictly_ascending(const std::vector<member_info>& members) {
  return std::adjacent_find(members.begin(), members.end(), [](const auto& left, const auto& right) {
           return !(left.id.vm < right.id.vm);
         }) == members.end();
}

/// Parses one line of the row into the view. Returns false if the line is malformed.
bool parse_line(view& result, std::string_view line) {
  const std::vector<std::string_view> fields = split(line, ' ');
  if (fields[0] == "c") {
    std::uint64_t number = 0;
    if (fields.size() != 2 || !parse_number(fields[1], number)) {
      return false;
    }
    result.changes.push_back({.number = view_number{number}, .joined = {}, .left = {}});
    return result.changes.size() <= max_view_changes;
  }
  auto member = parse_member(fields);
  if (!member) {
    return false;
  }
  if (fields[0] == "m" && result.changes.empty()) {
    result.members.push_back(*std::move(member));
    return result.members.size() <= max_view_members;
  }
  if (fields[0] == "j" && !result.changes.empty()) {
    result.changes.back().joined.push_back(*std::move(member));
    return true;
  }
  if (fields[0] == "l" && !result.changes.empty()) {
    result.changes.back().left.push_back(*std::move(member));
    return true;
  }
  return false;
}

bool changes_are_consecutive(const view& value) {
  auto expected = value.number.value();
  for (const auto& change : value.changes) {
    if (expected == 0 || change.number.value() != expected) {
      return false;
    }
    --expected;
  }
  return true;
}

}  // namespace

bool view::contains(const member_id& id) const {
  return std::any_of(members.begin(), members.end(), [&](const auto& member) { return member.id == id; });
}

view next_view(const view& current, std::vector<member_info> members) {
  std::sort(members.begin(), members.end(), by_id);
  view result{.number = current.number.next(), .members = std::move(members), .changes = {}};
  result.changes.push_back({.number = result.number,
                            .joined = difference(result.members, current.members),
                            .left = difference(current.members, result.members)});
  const auto kept = std::min(current.changes.size(), max_view_changes - 1);
  result.changes.insert(result.changes.end(), current.changes.begin(),
                        current.changes.begin() + static_cast<std::ptrdiff_t>(kept));
  return result;
}

std::optional<std::vector<member_info>> members_at(const view& current, view_number number) {
  if (number > current.number) {
    return std::nullopt;
  }
  auto members = current.members;
  auto reached = current.number;
  for (const auto& change : current.changes) {
    if (reached == number) {
      break;
    }
    auto older = difference(members, change.joined);
    older.insert(older.end(), change.left.begin(), change.left.end());
    std::sort(older.begin(), older.end(), by_id);
    members = std::move(older);
    reached = view_number{reached.value() - 1};
  }
  if (reached != number) {
    return std::nullopt;
  }
  return members;
}

std::string encode_view(const view& value) {
  std::string text = "view " + std::to_string(value.number.value()) + '\n';
  for (const auto& member : value.members) {
    append_member(text, 'm', member);
  }
  for (const auto& change : value.changes) {
    text += "c " + std::to_string(change.number.value()) + '\n';
    for (const auto& member : change.joined) {
      append_member(text, 'j', member);
    }
    for (const auto& member : change.left) {
      append_member(text, 'l', member);
    }
  }
  return text;
}

absl::StatusOr<view> decode_view(std::string_view text) {
  const std::vector<std::string_view> lines = split(text, '\n');
  const std::vector<std::string_view> header = split(lines.front(), ' ');
  std::uint64_t number = 0;
  if (header.size() != 2 || header[0] != "view" || !parse_number(header[1], number) ||
      !lines.back().empty()) {
    return absl::InvalidArgumentError("the view row has an invalid header or is truncated");
  }
  view result{.number = view_number{number}, .members = {}, .changes = {}};
  for (std::size_t index = 1; index + 1 < lines.size(); ++index) {
    if (!parse_line(result, lines[index])) {
      return absl::InvalidArgumentError("line " + std::to_string(index + 1) +
                                        " of the view row is malformed");
    }
  }
  if (!strictly_ascending(result.members) || !changes_are_consecutive(result)) {
    return absl::InvalidArgumentError("the members or changes of the view row are out of order");
  }
  return result;
}

std::optional<std::size_t> rank_of(const std::vector<member_info>& members, const vm_id& vm) {
  const auto position = [](const vm_id& id) { return std::pair{detail::stable_hash(id.value()), id}; };
  const auto own = position(vm);
  std::size_t rank = 0;
  bool found = false;
  for (const auto& member : members) {
    found = found || member.id.vm == vm;
    rank += position(member.id.vm) < own ? 1 : 0;
  }
  return found ? std::optional{rank} : std::nullopt;
}

std::uint32_t key_range_of(const idempotency_key& key) {
  return static_cast<std::uint32_t>(detail::stable_hash(key.value()) % key_range_count);
}

std::optional<std::size_t> registrar_pair::position_of(const member_id& id) const {
  for (std::size_t index = 0; index < count; ++index) {
    if (members.at(index).id == id) {
      return index;
    }
  }
  return std::nullopt;
}

namespace {

std::vector<std::uint64_t> hash_vms(const std::vector<member_info>& members) {
  // The hash excludes the incarnation, so that a restart does not move other ranges.
  std::vector<std::uint64_t> hashes;
  hashes.reserve(members.size());
  for (const auto& member : members) {
    hashes.push_back(detail::stable_hash(member.id.vm.value()));
  }
  return hashes;
}

/// Returns the index of the member with the highest score for the range among those that `accept`
/// returns true for.
template <class Accept>
std::optional<std::size_t> highest_scored(const std::vector<std::uint64_t>& hashes, std::uint32_t range,
                                          Accept accept) {
  std::optional<std::size_t> best;
  std::uint64_t best_score = 0;
  for (std::size_t index = 0; index < hashes.size(); ++index) {
    const auto score = detail::mix(hashes[index], range);
    if ((!best || score > best_score) && accept(index)) {
      best = index;
      best_score = score;
    }
  }
  return best;
}

/// Returns the indices of the registrars. The second is valid only with two or more members.
std::array<std::uint32_t, 2> registrar_indices(const std::vector<member_info>& members,
                                               const std::vector<std::uint64_t>& hashes,
                                               std::uint32_t range) {
  const auto first = highest_scored(hashes, range, [](std::size_t) { return true; });
  auto second = highest_scored(hashes, range, [&](std::size_t index) {
    return members[index].failure_domain != members[*first].failure_domain;
  });
  if (!second) {
    second = highest_scored(hashes, range, [&](std::size_t index) { return index != *first; });
  }
  return {static_cast<std::uint32_t>(first.value_or(0)), static_cast<std::uint32_t>(second.value_or(0))};
}

registrar_pair make_registrar_pair(const std::vector<member_info>& members,
                                   const std::array<std::uint32_t, 2>& indices) {
  registrar_pair result;
  for (const auto index : indices) {
    if (result.count < std::min<std::size_t>(members.size(), 2)) {
      result.members.at(result.count++) = members[index];
    }
  }
  return result;
}

}  // namespace

registrar_pair registrars_of(const std::vector<member_info>& members, std::uint32_t range) {
  return make_registrar_pair(members, registrar_indices(members, hash_vms(members), range));
}

registrar_table::registrar_table(std::vector<member_info> members)
    : members_{std::move(members)}, count_{std::min<std::size_t>(members_.size(), 2)} {
  const auto hashes = hash_vms(members_);
  indices_.reserve(key_range_count);
  for (std::uint32_t range = 0; range < key_range_count; ++range) {
    indices_.push_back(registrar_indices(members_, hashes, range));
  }
}

registrar_pair registrar_table::at(std::uint32_t range) const {
  return count_ == 0 ? registrar_pair{} : make_registrar_pair(members_, indices_[range]);
}

bool registrar_table::is_registrar(std::uint32_t range, const member_id& id) const {
  for (std::size_t position = 0; position < count_; ++position) {
    if (members_[indices_[range].at(position)].id == id) {
      return true;
    }
  }
  return false;
}

}  // namespace rhubarbpath
