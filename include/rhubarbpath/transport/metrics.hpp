#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath {

/// Counters, gauges and latency histograms of one process, exported in the Prometheus text format.
/// Names follow the Prometheus conventions, such as `rhubarb_requests_total`; labels are passed
/// preformatted, such as `class="hold",team="a"`.
class metrics {
 public:
  metrics();
  metrics(const metrics&) = delete;
  metrics(metrics&&) = delete;
  metrics& operator=(const metrics&) = delete;
  metrics& operator=(metrics&&) = delete;
  ~metrics();

  /// Increments a counter.
  void add(std::string_view name, std::string_view labels = {}, std::uint64_t amount = 1);
  /// Sets a gauge.
  void set(std::string_view name, std::string_view labels, double value);
  /// Records a duration in a Boost.Histogram with logarithmic bins from 100 us to 100 s.
  void observe(std::string_view name, std::string_view labels, duration value);

  [[nodiscard]] std::string prometheus_text() const;

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace rhubarbpath
