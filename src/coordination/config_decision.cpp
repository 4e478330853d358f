#include "rhubarbpath/coordination/config_decision.hpp"

namespace rhubarbpath {

config_decision decide(version_tracker::standing standing, bool newer_announced,
                       const config_question& question) {
  if (standing == version_tracker::standing::confirmed) {
    if (question.allowed) {
      return config_decision::proceed;
    }
    if (!newer_announced) {
      return config_decision::refuse;
    }
    return question.waited < max_newer_version_wait ? config_decision::wait : config_decision::cannot_tell;
  }
  const bool worth_waiting = !question.changes_state || !question.store_refuses_writes;
  if (standing == version_tracker::standing::checking && worth_waiting && question.waited < max_check_wait) {
    return config_decision::wait;
  }
  return question.allowed && !question.changes_state ? config_decision::proceed
                                                     : config_decision::cannot_tell;
}

}  // namespace rhubarbpath
