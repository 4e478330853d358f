#include "rhubarbpath/coordination/request_router.hpp"

#include <cstdint>
#include <cstdlib>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace rhubarbpath {
namespace {

/// Feeds one router with any order of events and stops the process when a promise is broken.
class fuzzed_router {
 public:
  fuzzed_router(const std::uint8_t* data, std::size_t size)
      : data_{data},
        end_{data + size},
        router_{{.self = vm_id{"vm0"}, .self_incarnation = incarnation{1}}, random_} {
    for (int i = 0; i < 2; ++i) {
      document_->teams.push_back({.id = team_id{std::to_string(i)}, .max_queued_requests = 4});
      document_->workers.push_back({.id = worker_id{std::to_string(i)}, .service = service_id{"s"}});
    }
    document_->services.push_back(
        {.id = service_id{"s"},
         .slots_per_target = 2,
         .classes = {{.id = class_id{"0"}, .queue_limit = 4, .non_idempotent = true},
                     {.id = class_id{"1"}, .rank = 1, .queue_limit = 4}}});
    document_->budget = {.set_aside_share = 0.5, .retry_share = 0.5, .hedge_share = 0.5};
    feed(routing::document_changed{document_});
    publish(0);
    now_ += std::chrono::seconds{3};
  }

  void run() {
    while (data_ != end_) {
      step(byte());
    }
  }

 private:
  std::uint8_t byte() { return data_ == end_ ? std::uint8_t{0} : *data_++; }
  static void require(bool kept) {
    if (!kept) {
      std::abort();
    }
  }

  void publish(std::uint8_t chosen) {
    routing::members_changed event;
    for (int i = 0; i < 3; ++i) {
      if (i == 0 || ((chosen >> i) & 1) != 0) {
        event.members.push_back({vm_id{"vm" + std::to_string(i)}, incarnation{1U + (chosen >> 6U)}, {}});
      }
    }
    event.members[0].vm_incarnation = incarnation{1};
    feed(event);
  }

  routing::request_content content() {
    return {.service = service_id{"s"},
            .request_class = class_id{std::to_string(byte() % 3)},
            .team = team_id{std::to_string(byte() % 3)},
            .non_idempotent = byte() % 4 == 0,
            .deadline = now_ + std::chrono::milliseconds{byte()},
            .body = nullptr};
  }

  vm_id peer() { return vm_id{"vm" + std::to_string(1 + byte() % 2)}; }

  void step(std::uint8_t kind) {
    switch (kind % 16) {
      case 0:
      case 1: {
        const request_id id{++last_request_};
        open_.insert(id);
        feed(routing::request_arrived{.id = id,
                                      .content = content(),
                                      .key = idempotency_key{std::to_string(byte() % 8)},
                                      .first_attempt = byte() % 2 == 0});
        break;
      }
      case 2:
        feed(routing::forward_arrived{peer(), incarnation{1U + byte() % 2}, incarnation{1U + byte() % 2},
                                      routing::forward_id{byte()}, content(), routing::intent_ref{},
                                      std::nullopt, byte() % 2 == 0});
        break;
      case 3:
        feed(routing::peer_load{
            peer(),
            incarnation{1},
            {.sequence = ++sequence_,
             .services = {{service_id{"s"}, byte() % 4, {{byte() % 3, 1 + byte() % 4, 0}}, byte() % 2}}}});
        break;
      case 4:
        feed(routing::pull_arrived{peer(), incarnation{1}, service_id{"s"}, byte() % 4, byte() % 2,
                                   byte() % 2 == 0});
        break;
      case 5:
        feed(routing::intent_settled{.id = request_id{byte()},
                                     .settled = static_cast<routing::intent_result>(byte() % 4)});
        break;
      case 6:
      case 7:
        end_call(
            routing::target_answered{next_call(), byte() % 3 == 0 ? 500 : 200, nullptr, byte() % 16 == 0});
        break;
      case 8:
        end_call(routing::target_call_failed{next_call(), byte() % 2 == 0});
        break;
      case 9:
        end_call(routing::target_refused{next_call(), byte() % 16 == 0});
        break;
      case 10:
        feed(routing::forward_answered{.from = peer(),
                                       .from_incarnation = incarnation{1},
                                       .to_incarnation = incarnation{1},
                                       .id = routing::forward_id{byte()},
                                       .result = static_cast<routing::forward_result>(byte() % 3)});
        break;
      case 11:
        feed(routing::peer_lost{peer()});
        break;
      case 12: {
        const request_id id{byte()};
        open_.erase(id);
        feed(routing::caller_gone{id});
        break;
      }
      case 13:
        byte() % 8 == 0 ? feed(routing::drain{}) : publish(byte());
        break;
      case 14:
        feed(routing::target_leaving{worker_id{std::to_string(byte() % 3)}, byte() % 2 == 0});
        break;
      default:
        now_ += std::chrono::milliseconds{4 * byte()};
        feed(routing::tick{});
    }
  }

  routing::target_call_id next_call() {
    return calls_.empty() ? routing::target_call_id{}
                          : std::next(calls_.begin(), byte() % calls_.size())->first;
  }

  template <class Event>
  void end_call(const Event& event) {
    const auto found = calls_.find(event.call);
    if (found != calls_.end()) {
      --used_[found->second];
      calls_.erase(found);
    }
    feed(event);
  }

  void feed(const request_router_event& event) {
    std::vector<request_router_action> actions;
    router_.handle(event, now_, actions);
    for (const auto& action : actions) {
      if (const auto* answer = std::get_if<routing::answer_caller>(&action)) {
        require(open_.erase(answer->id) == 1);
      } else if (const auto* sent = std::get_if<routing::send_request>(&action)) {
        require(calls_.emplace(sent->call, sent->target).second);
        require(++used_[sent->target] <= 2);
        require(sent->content.deadline > now_);
        require(!sent->content.non_idempotent || sent->intent.has_value());
      }
    }
    require(router_.requests_in_progress() == open_.size());
    require(router_.calls_in_progress() == calls_.size());
  }

  const std::uint8_t* data_;
  const std::uint8_t* end_;
  random_source random_{1};
  request_router router_;
  std::shared_ptr<environment_document> document_ = std::make_shared<environment_document>();
  instant now_{std::chrono::seconds{1}};
  std::uint64_t last_request_{0};
  std::uint64_t sequence_{0};
  std::set<request_id> open_;
  std::map<routing::target_call_id, worker_id> calls_;
  std::map<worker_id, int> used_;
};

}  // namespace
}  // namespace rhubarbpath

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  rhubarbpath::fuzzed_router{data, size}.run();
  return 0;
}
