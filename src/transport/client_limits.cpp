#include "rhubarbpath/transport/client_limits.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <chrono>
#include <utility>

#include "rhubarbpath/transport/log.hpp"

namespace rhubarbpath {

namespace {

constexpr duration sweep_interval{std::chrono::seconds{1}};

std::size_t sockets_of_process() {
  constexpr std::size_t unlimited = 1U << 20U;
  rlimit limit{};
  if (getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur > unlimited) {
    return unlimited;
  }
  return sockets_of(static_cast<std::size_t>(limit.rlim_cur));
}

client_limits::options with_process_limit(client_limits::options opts) {
  const auto sockets = sockets_of_process();
  opts.max_sockets = opts.max_sockets == 0 ? sockets : std::min(opts.max_sockets, sockets);
  return opts;
}

}  // namespace

std::size_t sockets_of(std::size_t descriptors) {
  constexpr std::size_t file_descriptors = 200;
  return descriptors > 2 * file_descriptors ? descriptors - file_descriptors : descriptors / 2;
}

client_limits::client_limits(event_loop& loop, options opts)
    : loop_{loop},
      options_{with_process_limit(std::move(opts))},
      budget_{{.max_bytes = options_.max_bytes, .max_connections = max_client_connections()}},
      sweep_timer_{loop.run_every(sweep_interval, [this] { sweep(); })} {}

connection_guard::group client_limits::add_server(double reserved_share, server_calls calls) {
  const auto share = [&](auto whole) {
    return static_cast<decltype(whole)>(static_cast<double>(whole) * reserved_share);
  };
  servers_.push_back(std::move(calls));
  return budget_.add_group(
      {.bytes = share(options_.max_bytes), .connections = share(options_.max_sockets * 3 / 4)});
}

void client_limits::remove_server(group server) {
  servers_.at(server) = {};
}

std::size_t client_limits::max_client_connections() const {
  // A quarter of the sockets is for calls of this process, and all but a quarter as far as these need it.
  const auto sockets = options_.max_sockets;
  const auto margin = sockets / 16;
  const auto own = options_.own_connections ? options_.own_connections() : 0;
  const auto left = sockets > margin + own ? sockets - margin - own : 0;
  return std::clamp(left, sockets / 4, sockets * 3 / 4);
}

connection_guard::connection client_limits::open(group server) {
  const auto id = budget_.open(server);
  check();
  return id;
}

void client_limits::close(connection id) {
  budget_.close(id);
}

void client_limits::hold(connection id, std::uint64_t bytes) {
  budget_.hold(id, bytes);
  check();
}

void client_limits::progressed(connection id) {
  budget_.progressed(id);
}

bool client_limits::admit(group server, std::uint64_t bytes) {
  if (!budget_.admit(server, bytes)) {
    return false;
  }
  check();
  return true;
}

void client_limits::finish(group server, std::uint64_t bytes) {
  budget_.finish(server, bytes);
}

void client_limits::note(std::string_view reason) {
  if (options_.count) {
    options_.count(reason);
  }
  const auto found = noted_.find(reason);
  ++(found == noted_.end() ? noted_[std::string{reason}] : found->second);
}

void client_limits::check() {
  if (check_posted_ || budget_.within_bounds()) {
    return;
  }
  check_posted_ = true;
  loop_.post([weak = weak_from_this()] {
    if (const auto self = weak.lock()) {
      self->check_posted_ = false;
      self->enforce();
    }
  });
}

void client_limits::enforce() {
  budget_.set_max_connections(max_client_connections());
  while (const auto excess = budget_.next_excess()) {
    note(excess->passed == connection_budget::bound::bytes ? "connection closed: bytes"
                                                           : "connection closed: descriptors");
    if (const auto& close = servers_.at(excess->owner).close; close) {
      close(excess->id);
    }
    budget_.close(excess->id);
  }
}

void client_limits::sweep() {
  for (const auto& [owner, id] : budget_.holders()) {
    if (const auto& measure = servers_.at(owner).measure; measure) {
      measure(id);
    }
  }
  enforce();
  for (const auto& [reason, count] : std::exchange(noted_, {})) {
    log(log_level::warning, "clients_limited",
        {{"reason", reason},
         {"count", count},
         {"kept_bytes", static_cast<std::int64_t>(budget_.bytes())},
         {"connections", static_cast<std::int64_t>(budget_.connections())}});
  }
}

}  // namespace rhubarbpath
