#include "rhubarbpath/coordination/domain_log.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "rhubarbpath/protocol/log_codec.hpp"

// The input is first taken as stored values, which must be rejected or decode to what encodes again. Then it
// drives two logs over one store, one byte per step: open, append, answer, lose an answer, advance time.

namespace rhubarbpath {
namespace {

const cbor_log_codec codec;

void require(bool holds) {
  if (!holds) {
    __builtin_trap();
  }
}

void decode(std::string_view input) {
  if (const auto entries = codec.decode_batch(input); entries.ok()) {
    const auto again = codec.decode_batch(codec.encode_batch(*entries));
    require(again.ok() && *again == *entries);
  }
  const std::string part{input};
  (void)codec.decode_snapshot(std::span{&part, 1});
  (void)codec.decode_head(input);
}

class world {
 public:
  void step(std::uint8_t byte) {
    auto& log = logs_[byte & 1U];
    switch ((byte >> 1U) % 5) {
      case 0:
        feed(log, log_open_requested{});
        break;
      case 1:
        ++appended_;
        feed(log, log_append{.id = ++log.last_append,
                             .entries = {job_accepted{.job = job_id{std::to_string(appended_)}}}});
        break;
      case 2:
        answer(log, byte >> 4U);
        break;
      case 3:
        now_ += duration{(byte >> 4U) * 4'000'000};
        feed(log, tick{});
        break;
      default:
        drop(log);
        break;
    }
  }

 private:
  struct pending {
    call_id id;
    store_request request;
  };
  struct hosted {
    explicit hosted(const char* name, random_source& random)
        : log{{.prefix = "/d",
               .owner = vm_id{name},
               .snapshot_rows = 3,
               .snapshot_part_bytes = 400,
               .retention = duration{8'000'000},
               .replay_page = 2},
              codec,
              random} {}
    domain_log log;
    std::vector<pending> calls;
    std::uint64_t last_append{0};
  };

  void feed(hosted& host, const domain_log_event& event) {
    std::vector<domain_log_action> actions;
    host.log.handle(event, now_, actions);
    for (auto& action : actions) {
      if (auto* call = std::get_if<store_call>(&action)) {
        host.calls.push_back({.id = call->id, .request = call->request});
      } else if (const auto* cancelled = std::get_if<store_call_cancelled>(&action)) {
        std::erase_if(host.calls, [&](const pending& each) { return each.id == cancelled->id; });
      } else if (const auto* opened = std::get_if<log_opened>(&action)) {
        require(std::find(epochs_.begin(), epochs_.end(), opened->opened) == epochs_.end());
        epochs_.push_back(opened->opened);
      }
    }
  }
  /// Carries out one waiting call; the session has settled it, so its result is certain.
  void answer(hosted& host, std::size_t which) {
    if (host.calls.empty()) {
      return;
    }
    const auto chosen = host.calls.begin() + static_cast<std::ptrdiff_t>(which % host.calls.size());
    const auto call = *chosen;
    host.calls.erase(chosen);
    feed(host, store_call_result{.id = call.id, .response = carry_out(call.request)});
  }
  void drop(hosted& host) {
    if (!host.calls.empty()) {
      const auto call = host.calls.front();
      host.calls.erase(host.calls.begin());
      feed(host, store_call_result{.id = call.id, .response = store_failure::unknown});
    }
  }
  store_response carry_out(const store_request& request) {
    if (const auto* get = std::get_if<store_get>(&request)) {
      const auto found = rows_.find(get->key);
      return found == rows_.end() ? store_rows{} : store_rows{.rows = {found->second}};
    }
    if (const auto* put = std::get_if<store_put>(&request)) {
      const auto found = rows_.find(put->key);
      if ((found == rows_.end() ? revision{} : found->second.at) != put->expected) {
        return store_failure::conflict;
      }
      last_ = last_.next();
      rows_[put->key] = {.key = put->key, .value = put->value, .at = last_};
      return store_written{.at = last_};
    }
    if (const auto* erase = std::get_if<store_erase>(&request)) {
      rows_.erase(erase->key);
      return store_written{.at = last_};
    }
    const auto& list = std::get<store_list>(request);
    store_rows result;
    for (auto row = rows_.lower_bound(std::max(list.prefix, list.start)); row != rows_.end(); ++row) {
      if (row->first.compare(0, list.prefix.size(), list.prefix) != 0) {
        break;
      }
      if (result.rows.size() == static_cast<std::size_t>(list.limit)) {
        result.more = true;
        break;
      }
      result.rows.push_back(row->second);
    }
    return result;
  }

  random_source random_{1};
  instant now_{};
  hosted logs_[2]{hosted{"a", random_}, hosted{"b", random_}};
  std::map<std::string, store_row> rows_;
  revision last_;
  std::vector<epoch> epochs_;
  std::uint64_t appended_{0};
};

}  // namespace
}  // namespace rhubarbpath

extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  const std::string input{data, data + size};
  rhubarbpath::decode(input);
  rhubarbpath::world both;
  for (const auto byte : std::span{data, size}) {
    both.step(byte);
  }
  return 0;
}
