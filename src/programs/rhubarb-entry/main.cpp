#include "entry_daemon.hpp"
#include "shared/daemon_main.hpp"

int main(int argc, char** argv) {
  try {
    return rhubarbpath::daemon_main<rhubarbpath::entry_daemon>(
        argc, argv, "rhubarb-entry",
        "Serves callers' jobs and requests on one VM. Example: rhubarb-entry --settings vm1.yaml");
  } catch (const std::exception& error) {
    rhubarbpath::log(rhubarbpath::log_level::error, error.what());
    return 1;
  }
}
