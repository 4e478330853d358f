#include "unit_wait.hpp"

#include "absl/strings/str_cat.h"

namespace rhubarbpath::detail {

namespace {

std::int64_t millis(duration value) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(value).count();
}

struct description {
  std::string operator()(const not_considered& /*wait*/) const { return "not considered for placement"; }
  std::string operator()(const starts_are_held& /*wait*/) const { return "all starts are held"; }
  std::string operator()(const unknown_queue& /*wait*/) const { return "the queue is unknown"; }
  std::string operator()(const recovery_unfinished& wait) const {
    return absl::StrCat("recovery waits for ", wait.silent_workers, " workers");
  }
  std::string operator()(const run_of_previous_owner& /*wait*/) const {
    return "a leaving worker may run it for the previous owner";
  }
  std::string operator()(const rack_is_full& wait) const {
    return wait.rack.empty() ? "no rack has space for the whole gang"
                             : absl::StrCat("rack ", wait.rack, " of its data has no space");
  }
  std::string operator()(const only_evacuated_workers& /*wait*/) const {
    return "all workers for it are in evacuated failure domains";
  }
  std::string operator()(const team_has_most_tasks& /*wait*/) const {
    return "its team has as many tasks on workers as it may have";
  }
  std::string operator()(const no_free_space& /*wait*/) const { return "no allowed worker has space"; }
  std::string operator()(const stops_unfinished& wait) const {
    return absl::StrCat("preempted runs on ", wait.worker.value(), " have not ended");
  }
  std::string operator()(const report_awaited& wait) const {
    return absl::StrCat(wait.worker.value(), " has to report before a start");
  }
  std::string operator()(const no_space_with_ticket& /*wait*/) const {
    return "no worker for which it has a ticket has space";
  }
  std::string operator()(const advice_awaited& /*wait*/) const {
    return "the adviser has not answered yet on which workers it may run";
  }
  std::string operator()(const advice_fails& /*wait*/) const { return "the adviser does not answer"; }
  std::string operator()(const too_few_allowed_workers& wait) const {
    return absl::StrCat("the adviser allows ", wait.allowed, " of ", wait.workers,
                        " workers, too few for it");
  }
  std::string operator()(const advice_outlasts_tickets& wait) const {
    return absl::StrCat("the calls about its ", wait.workers, " workers take ", millis(wait.advice),
                        " ms, a ticket is valid for ", millis(wait.validity), " ms");
  }
  std::string operator()(const tickets_expire_too_soon& wait) const {
    return absl::StrCat("its tickets expire before its start: a call about ", wait.workers, " workers takes ",
                        millis(wait.advice), " ms, a ticket is valid for ", millis(wait.validity), " ms");
  }
  std::string operator()(const start_unconfirmed& wait) const {
    return absl::StrCat("the start on ", wait.worker.value(), " is not confirmed");
  }
  std::string operator()(const earlier_run_unfinished& wait) const {
    return absl::StrCat("an earlier run on ", wait.worker.value(), " may not be over");
  }
};

}  // namespace

std::string describe(const unit_wait& wait) {
  return std::visit(description{}, wait);
}

}  // namespace rhubarbpath::detail
