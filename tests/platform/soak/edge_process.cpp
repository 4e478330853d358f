#include "edge_process.hpp"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

namespace rhubarbpath::soak {

edge_process::~edge_process() {
  if (alive()) {
    send(SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

bool edge_process::start() {
  constexpr mode_t log_mode = 0644;
  constexpr int exec_failed = 127;
  const auto child = fork();
  if (child == 0) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = open(log_path_.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, log_mode);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    execl(program_.c_str(), program_.c_str(), "--settings", settings_path_.c_str(), nullptr);
    _exit(exec_failed);
  }
  pid_ = child > 0 ? child : 0;
  return alive();
}

void edge_process::send(int signal_number) const {
  if (alive()) {
    kill(pid_, signal_number);
  }
}

std::optional<int> edge_process::reap() {
  int status = 0;
  if (!alive() || waitpid(pid_, &status, WNOHANG) != pid_) {
    return std::nullopt;
  }
  pid_ = 0;
  return status;
}

}  // namespace rhubarbpath::soak
