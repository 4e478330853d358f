#include "rhubarbpath/coordination/intent_registry.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace {

using namespace rhubarbpath;

constexpr std::size_t node_count = 4;

struct in_flight {
  member_id from;
  member_info to;
  intent_message message;
};

/// Registries whose messages the input delivers, drops, repeats and reorders.
class exchange {
 public:
  exchange() {
    for (std::size_t index = 0; index < node_count; ++index) {
      start(index);
    }
    propose();
  }

  void step(std::uint8_t operation, std::uint8_t argument) {
    const std::size_t index = argument % node_count;
    switch (operation % 8) {
      case 0:
        feed(index,
             intent_requested{.id = request_id{next_request_++},
                              .key = idempotency_key{std::string(1, static_cast<char>('a' + argument / 64))},
                              .first_attempt = false,
                              .deadline = now_ + duration{5'000'000}});
        break;
      case 1:
      case 2:
        deliver(argument, false);
        break;
      case 3:
        deliver(argument, true);
        break;
      case 4:
        if (!messages_.empty()) {
          messages_.erase(messages_.begin() + argument % messages_.size());
        }
        break;
      case 5:
        now_ += duration{static_cast<std::int64_t>(argument) * 4'000};
        feed(index, intent_registry_tick{});
        break;
      case 6:
        argument < 32 ? start(index) : propose(argument);
        break;
      default:
        feed(index, view_adopted{.adopted = current_});
        break;
    }
  }

 private:
  void start(std::size_t index) {
    const std::string name(1, static_cast<char>('A' + index));
    infos_[index] = {.id = {vm_id{name}, incarnation{++next_incarnation_}},
                     .failure_domain = failure_domain_id{name},
                     .address = name};
    parts_.insert_or_assign(index, intent_registry{{.self = infos_[index]}});
    tell_live();
  }
  void propose(std::uint8_t mask = 0xff) {
    std::vector<member_info> members;
    for (std::size_t index = 0; index < node_count; ++index) {
      if (((mask >> index) & 1U) != 0) {
        members.push_back(infos_[index]);
      }
    }
    if (!members.empty()) {
      current_ = next_view(current_, members);
    }
  }
  void tell_live() {
    live_list_changed live;
    for (const auto& [index, info] : infos_) {
      live.members.push_back({.info = info, .draining = false, .suspected = false});
    }
    for (std::size_t index = 0; index < parts_.size(); ++index) {
      feed(index, live);
    }
  }
  void deliver(std::uint8_t argument, bool keep) {
    if (messages_.empty()) {
      return;
    }
    const auto at = messages_.begin() + argument % messages_.size();
    const auto message = *at;
    if (!keep) {
      messages_.erase(at);
    }
    for (std::size_t index = 0; index < node_count; ++index) {
      if (infos_[index].id == message.to.id) {
        feed(index, intent_message_received{.from = message.from, .message = message.message});
      }
    }
  }
  void feed(std::size_t index, const intent_registry_event& event) {
    std::vector<intent_registry_action> out;
    const auto self = infos_[index].id;
    parts_.at(index).handle(event, now_, out);
    for (auto& action : out) {
      if (auto* const sent = std::get_if<send_intent_message>(&action)) {
        if (messages_.size() < 256) {
          messages_.push_back({self, sent->to, std::move(sent->message)});
        }
      } else if (const auto* const permitted = std::get_if<dispatch_permitted>(&action)) {
        if (++left_[permitted->key] > 1) {
          std::abort();
        }
        feed(index,
             dispatch_ended{.id = permitted->id,
                            .answer = {.result = {.result = verdict::ran, .reason = {}, .retry_after = {}},
                                       .status = 200,
                                       .body = {},
                                       .body_dropped = false}});
      }
    }
  }

  std::map<std::size_t, member_info> infos_;
  std::map<std::size_t, intent_registry> parts_;
  std::deque<in_flight> messages_;
  std::map<idempotency_key, int> left_;
  view current_;
  instant now_{duration{1'000'000}};
  std::uint64_t next_incarnation_{0};
  std::uint64_t next_request_{1};
};

}  // namespace

// Aborts when a key leaves twice. The input is shorter than a key lifetime of logical time.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  constexpr std::size_t max_steps = 600;
  exchange nodes;
  for (std::size_t at = 0; at + 1 < size && at < 2 * max_steps; at += 2) {
    nodes.step(data[at], data[at + 1]);
  }
  return 0;
}
