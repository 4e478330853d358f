#include "rhubarbpath/transport/metrics.hpp"

#include <fmt/format.h>

#include <boost/histogram.hpp>
#include <iterator>
#include <map>
#include <utility>

namespace rhubarbpath {

namespace {

namespace histogram = boost::histogram;
using latency_axis = histogram::axis::regular<double, histogram::axis::transform::log>;

constexpr unsigned latency_bins = 60;  // 10 bins per decade
constexpr double min_latency_seconds = 1e-4;
constexpr double max_latency_seconds = 1e2;

auto make_latency_histogram() {
  return histogram::make_histogram(latency_axis{latency_bins, min_latency_seconds, max_latency_seconds});
}

struct latency_series {
  decltype(make_latency_histogram()) counts{make_latency_histogram()};
  double sum_seconds{0};
};

/// Metric name and labels. The name sorts first, so that all series of a metric are written together.
using series_key = std::pair<std::string, std::string>;

series_key make_key(std::string_view name, std::string_view labels) {
  return {std::string{name}, std::string{labels}};
}

std::string braced_labels(const std::string& labels) {
  return labels.empty() ? std::string{} : fmt::format("{{{}}}", labels);
}

void write_type(std::string& out, std::string& last_name, const std::string& name, std::string_view type) {
  if (std::exchange(last_name, name) != name) {
    fmt::format_to(std::back_inserter(out), "# TYPE {} {}\n", name, type);
  }
}

void write_latency(std::string& out, const series_key& key, const latency_series& series) {
  const auto& [name, labels] = key;
  const auto separator = labels.empty() ? "" : ",";
  const auto& axis = series.counts.axis();
  auto sink = std::back_inserter(out);
  // Index -1 is the underflow bin and index `latency_bins` the overflow bin.
  double cumulative = series.counts.at(-1);
  for (int bin = 0; bin < axis.size(); ++bin) {
    cumulative += series.counts.at(bin);
    fmt::format_to(sink, "{}_bucket{{{}{}le=\"{:.4g}\"}} {}\n", name, labels, separator, axis.value(bin + 1),
                   cumulative);
  }
  cumulative += series.counts.at(axis.size());
  fmt::format_to(sink, "{}_bucket{{{}{}le=\"+Inf\"}} {}\n", name, labels, separator, cumulative);
  fmt::format_to(sink, "{}_sum{} {}\n", name, braced_labels(labels), series.sum_seconds);
  fmt::format_to(sink, "{}_count{} {}\n", name, braced_labels(labels), cumulative);
}

}  // namespace

struct metrics::implementation {
  std::map<series_key, std::uint64_t> counters;
  std::map<series_key, double> gauges;
  std::map<series_key, latency_series> latencies;
};

metrics::metrics() : implementation_{std::make_unique<implementation>()} {}

metrics::~metrics() = default;

void metrics::add(std::string_view name, std::string_view labels, std::uint64_t amount) {
  implementation_->counters[make_key(name, labels)] += amount;
}

void metrics::set(std::string_view name, std::string_view labels, double value) {
  implementation_->gauges[make_key(name, labels)] = value;
}

void metrics::observe(std::string_view name, std::string_view labels, duration value) {
  auto& series = implementation_->latencies[make_key(name, labels)];
  const auto seconds = std::chrono::duration<double>{value}.count();
  series.counts(seconds);
  series.sum_seconds += seconds;
}

std::string metrics::prometheus_text() const {
  std::string out;
  std::string last_name;
  for (const auto& [key, value] : implementation_->counters) {
    write_type(out, last_name, key.first, "counter");
    fmt::format_to(std::back_inserter(out), "{}{} {}\n", key.first, braced_labels(key.second), value);
  }
  for (const auto& [key, value] : implementation_->gauges) {
    write_type(out, last_name, key.first, "gauge");
    fmt::format_to(std::back_inserter(out), "{}{} {}\n", key.first, braced_labels(key.second), value);
  }
  for (const auto& [key, series] : implementation_->latencies) {
    write_type(out, last_name, key.first, "histogram");
    write_latency(out, key, series);
  }
  return out;
}

}  // namespace rhubarbpath
