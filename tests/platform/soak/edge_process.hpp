#pragma once

#include <sys/types.h>

#include <optional>
#include <string>

#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath::soak {

/// One `rhubarb-edge` child process. Signals are sent only to the process that this object started.
class edge_process {
 public:
  edge_process(std::string program, std::string settings_path, std::string log_path)
      : program_{std::move(program)},
        settings_path_{std::move(settings_path)},
        log_path_{std::move(log_path)} {}
  edge_process(const edge_process&) = delete;
  edge_process(edge_process&&) = delete;
  edge_process& operator=(const edge_process&) = delete;
  edge_process& operator=(edge_process&&) = delete;
  ~edge_process();

  /// Returns false when `fork` failed.
  [[nodiscard]] bool start();
  void send(int signal_number) const;
  /// Returns the wait status once after the process has ended, else `nullopt`. Does not block.
  [[nodiscard]] std::optional<int> reap();
  [[nodiscard]] bool alive() const noexcept { return pid_ > 0; }
  /// 0 while no process runs.
  [[nodiscard]] pid_t id() const noexcept { return pid_; }

 private:
  std::string program_;
  std::string settings_path_;
  std::string log_path_;
  pid_t pid_{0};
};

}  // namespace rhubarbpath::soak
