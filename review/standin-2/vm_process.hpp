#pragma once

#include <sys/types.h>

#include <string>

namespace rhubarbpath::review {

/// A process of the deploy file's command. Signals go only to the process that this object started.
class vm_process {
 public:
  vm_process(std::string settings, std::string log) : settings_{std::move(settings)}, log_{std::move(log)} {}
  vm_process(const vm_process&) = delete;
  vm_process(vm_process&&) = delete;
  vm_process& operator=(const vm_process&) = delete;
  vm_process& operator=(vm_process&&) = delete;
  /// Kills the process and waits for its end.
  ~vm_process();

  [[nodiscard]] bool start();
  void send(int number) const;
  /// Whether the process runs; takes note of its end.
  [[nodiscard]] bool alive();
  [[nodiscard]] pid_t id() const noexcept { return pid_; }

 private:
  std::string settings_;
  std::string log_;
  pid_t pid_{0};
};

}  // namespace rhubarbpath::review
