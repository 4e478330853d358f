#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "rhubarbpath/state/document.hpp"

namespace rhubarbpath {

enum class change_subject {
  region,
  failure_domain,
  rack,
  worker,
  team,
  guarantee,
  service,
  request_class,
  job_class,
  budget
};

enum class change_action { add, remove, change };

/// Effect of a change on guarantees, protections and running work.
enum class change_effect {
  none,
  breaks_guarantee,  ///< A team loses guaranteed accelerators.
  stops_work,        ///< Running jobs end, or calls to a service or class are refused afterwards.
  weakens_promise,   ///< A request class loses its at-most-once protection.
};

/// One difference between two documents. Adding or removing a failure domain or rack is one change; the
/// racks and workers in it are not listed separately.
struct document_change {
  change_subject subject{change_subject::region};
  change_action action{change_action::change};
  std::string id;  ///< Id of the subject; parts are joined by '/', for example "team/4x8-rack".
  change_effect effect{change_effect::none};
  std::string sentence;

  /// True if the operator must accept the change by name to promote the document.
  [[nodiscard]] bool needs_acceptance() const noexcept { return effect != change_effect::none; }
  /// "action-subject:id", for example "remove-rack:tas-hba-r1"; unique among the changes of one diff.
  [[nodiscard]] std::string name() const;

  friend bool operator==(const document_change&, const document_change&) = default;
};

[[nodiscard]] std::string_view to_string(change_subject subject) noexcept;
[[nodiscard]] std::string_view to_string(change_action action) noexcept;
[[nodiscard]] std::string_view to_string(change_effect effect) noexcept;

/// Returns the changes from `before` to `after`. The order of list items is compared only for classes,
/// whose order is their rank. The name of the environment is not compared.
[[nodiscard]] std::vector<document_change> diff_documents(const environment_document& before,
                                                          const environment_document& after);

/// Returns the changes that need acceptance and whose name is not in `accepted`.
[[nodiscard]] std::vector<document_change> unaccepted_changes(const std::vector<document_change>& changes,
                                                              const std::vector<std::string>& accepted);

}  // namespace rhubarbpath
