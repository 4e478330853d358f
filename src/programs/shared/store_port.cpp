#include "store_port.hpp"

#include <utility>
#include <variant>

#include "rhubarbpath/protocol/store_codec.hpp"

namespace rhubarbpath {

namespace {

store_response response_of(const http_result& result) {
  if (const auto* failed = std::get_if<http_call_failed>(&result)) {
    return failed->bytes_sent ? store_failure::unknown : store_failure::unavailable;
  }
  const auto& response = std::get<http_response>(result);
  const auto decoded = decode_store_response(response.status, response.body);
  return decoded.ok() ? *decoded : store_response{store_failure::unknown};
}

}  // namespace

store_port::store_port(event_loop& loop, http_client& http, std::string address, store_session::options opts,
                       random_source& random)
    : loop_{loop},
      http_{http},
      address_{std::move(address)},
      session_{std::move(opts), random},
      timer_{loop, [this] { feed(tick{}); }} {}

store_port::client store_port::add_client(result_handler on_result) {
  clients_.push_back(std::move(on_result));
  return {.number = clients_.size() - 1};
}

void store_port::call(client from, const store_call& request) {
  last_id_ = last_id_.next();
  pending_[last_id_] = {.client = from.number, .id = request.id};
  ids_[{from.number, request.id}] = last_id_;
  auto renamed = request;
  renamed.id = last_id_;
  feed(renamed);
}

void store_port::cancel(client from, call_id id) {
  const auto found = ids_.find({from.number, id});
  if (found == ids_.end()) {
    return;
  }
  const auto renamed = found->second;
  ids_.erase(found);
  pending_.erase(renamed);
  feed(store_call_cancelled{.id = renamed});
}

void store_port::feed(const store_session_event& event) {
  std::vector<store_session_action> actions;
  session_.handle(event, loop_.now(), actions);
  for (const auto& action : actions) {
    std::visit([this](const auto& typed) { run(typed); }, action);
  }
  timer_.set(session_.next_deadline());
}

void store_port::run(const store_send& action) {
  const auto text = encode_store_request(action.request);
  const http_request request{.method = "POST",
                             .path = text.path,
                             .query = {},
                             .headers = {{"Content-Type", "application/json"}},
                             .body = text.body};
  http_.call(address_, request, action.timeout, [this, sent = action.sent](const http_result& result) {
    feed(store_answered{.sent = sent, .response = response_of(result)});
  });
}

void store_port::run(const store_call_result& action) {
  const auto found = pending_.find(action.id);
  if (found == pending_.end()) {
    return;
  }
  const auto owner = found->second;
  pending_.erase(found);
  ids_.erase({owner.client, owner.id});
  auto renamed = action;
  renamed.id = owner.id;
  // From the loop, so that a part is never entered while it handles another event.
  loop_.post([this, owner, renamed] { clients_[owner.client](renamed); });
}

}  // namespace rhubarbpath
