#include "config_checks.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "platform_documents.hpp"

namespace rhubarbpath::soak {

namespace {

/// No VM may refuse by a version that was replaced longer ago, whatever faults it suffers; see
/// `configApplyMs` in the settings.
constexpr duration config_apply_limit{std::chrono::seconds{2}};

}  // namespace

config_checks::config_checks(event_loop& loop, store_stand_in& store,
                             std::function<void(const std::string&)> violation)
    : loop_{loop}, store_{store}, violation_{std::move(violation)}, client_{loop, {}} {}

void config_checks::write() {
  ++version_;
  written_at_[version_] = loop_.now();
  store_.put("op/config", config_text(version_));
}

void config_checks::probe(const std::string& name, const std::string& address, int& highest_seen) {
  probe(name, address, highest_seen, std::max(1, highest_seen));
  probe(name, address, highest_seen, version_);
  probe(name, address, highest_seen, std::max(1, version_ - 1));
}

void config_checks::probe(const std::string& name, const std::string& address, int& highest_seen,
                          int version) {
  const http_request request{.method = "GET",
                             .path = fmt::format("/probe-{}/no-id", version),
                             .query = {},
                             .headers = {{"Host", std::string{caller_host}}},
                             .body = {}};
  const bool seen_before = version <= highest_seen;
  const auto written_before = loop_.now() - written_at_.at(version);
  client_.call(
      fmt::format("{}:{}", address, caller_port), request, std::chrono::seconds{2},
      [this, name, &highest_seen, version, seen_before, written_before](const http_result& result) {
        const auto* response = std::get_if<http_response>(&result);
        // A known route answers with 410 because the job id is malformed.
        if (response != nullptr && response->status == 410) {
          highest_seen = std::max(highest_seen, version);
        } else if (response != nullptr && response->status == 404 && seen_before && highest_seen >= version) {
          violation_(
              fmt::format("CONFIG: {} reverted to a configuration older than version {}", name, version));
        } else if (response != nullptr && response->status == 404 && written_before > config_apply_limit) {
          violation_(fmt::format("CONFIG: {} refuses the route of version {}, written {} ms before", name,
                                 version, written_before.count() / 1000));
        }
      });
}

}  // namespace rhubarbpath::soak
