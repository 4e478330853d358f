#include "evacuation_watch.hpp"

#include <algorithm>
#include <chrono>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "platform/config_wire.hpp"
#include "rhubarbpath/transport/log.hpp"
#include "rhubarbpath/transport/wall_clock.hpp"

namespace rhubarbpath::edge {

namespace {

constexpr duration retry_pause{std::chrono::milliseconds{100}};
/// After as many answers in a row that ended early, they are likely to be larger than one may be.
constexpr int max_cut_watches = 2;
/// The store answers at once, with the changes since the last answer.
constexpr std::chrono::milliseconds check_wait{1};
constexpr std::string_view gauge = "rhubarb_evacuated_domains";

/// Nothing, with a log line, for a row that names no failure domain.
std::optional<failure_domain_id> domain_of(const std::string& key) {
  auto domain = platform::evacuated_domain(key);
  if (!domain.ok()) {
    log(log_level::warning, "evacuation_row_ignored",
        {{"key", key}, {"reason", std::string{domain.status().message()}}});
    return std::nullopt;
  }
  return *std::move(domain);
}

}  // namespace

evacuation_watch::evacuation_watch(duration limit, duration order_timeout, dependencies deps)
    : evacuations_{limit, order_timeout}, deps_{std::move(deps)} {}

evacuation_watch::~evacuation_watch() {
  deps_.counters.set(gauge, {}, 0.0);
}

void evacuation_watch::start() {
  read_all();
}

void evacuation_watch::read_all() {
  deps_.list_all(platform::evacuation_prefix(), [weak = weak_from_this(), sent = boot_clock_now()](
                                                    const std::vector<kv_item>& rows, revision as_of) {
    const auto self = weak.lock();
    if (self == nullptr) {
      return;
    }
    std::set<failure_domain_id> domains;
    for (const auto& row : rows) {
      if (auto domain = domain_of(row.key)) {
        domains.insert(*std::move(domain));
      }
    }
    self->revision_ = as_of;
    self->evacuations_.read_all(std::move(domains), sent);
    self->watch();
    self->report_change();
  });
}

void evacuation_watch::watch() {
  // Starts that are held go on as soon as the store answers again.
  const auto wait = evacuations_.may_start(boot_clock_now())
                        ? std::chrono::duration_cast<std::chrono::milliseconds>(evacuations_.watch_wait())
                        : check_wait;
  deps_.store.call(
      kv_watch{.prefix = platform::evacuation_prefix(), .after = revision_, .wait = wait},
      [weak = weak_from_this(), sent = boot_clock_now()](const kv_result& result) {
        const auto self = weak.lock();
        if (self == nullptr) {
          return;
        }
        const auto* unknown = std::get_if<kv_unknown>(&result);
        const bool cut = unknown != nullptr && !unknown->timed_out;
        self->cut_watches_ = cut ? self->cut_watches_ + 1 : 0;
        if (const auto* events = std::get_if<kv_events>(&result)) {
          self->take(*events, sent);
          return;
        }
        // The same watch again would be answered by the same events. Rows come in pages.
        if (std::holds_alternative<kv_compacted>(result) || self->cut_watches_ >= max_cut_watches) {
          self->cut_watches_ = 0;
          self->read_all();
          return;
        }
        self->deps_.loop.run_detached(retry_pause, [weak] {
          if (const auto waiting = weak.lock()) {
            waiting->watch();
          }
        });
      });
}

void evacuation_watch::take(const kv_events& events, instant sent) {
  evacuations_.confirm(sent);
  revision_ = std::max(revision_, events.as_of);
  bool changed = false;
  for (const auto& event : events.events) {
    if (auto domain = domain_of(event.item.key)) {
      changed = evacuations_.apply({.domain = *std::move(domain), .evacuated = !event.deleted}) || changed;
    }
  }
  watch();
  if (changed) {
    report_change();
  }
}

void evacuation_watch::report_change() {
  deps_.counters.set(gauge, {}, static_cast<double>(evacuations_.domains().size()));
  deps_.changed();
}

}  // namespace rhubarbpath::edge
