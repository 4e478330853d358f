#pragma once

#include <optional>
#include <string>
#include <variant>

#include "http_caller.hpp"
#include "rhubarbpath/protocol/document_row.hpp"
#include "rhubarbpath/state/store.hpp"

namespace rhubarbpath::ctl {

/// What the store holds for one environment.
struct stored_document {
  revision at;  ///< Zero when there is no row.
  write_id written_by;
  std::optional<document_row> row;

  [[nodiscard]] document_version version() const { return row ? row->document.version : document_version{}; }
};

/// The store did not answer usefully within the time allowed.
struct store_problem {
  std::string reason;
};

enum class write_result {
  written,
  conflict,  ///< Another change was made first; `other` holds it. Nothing was written.
  not_written,
  unknown,  ///< The write may have taken effect.
};

struct write_report {
  write_result result{write_result::unknown};
  stored_document other;
  std::string reason;
};

/// Document calls to the store over HTTP. Each call tries again within `patience`.
class store_client {
 public:
  store_client(http_caller& caller, std::string address, duration patience);

  [[nodiscard]] std::variant<stored_document, store_problem> read(const std::string& environment);

  /// Writes by compare-and-swap on the revision of `before`, whose version plus one `row` must have. A
  /// write without an answer is read back, and repeated with the same id while the row is unchanged.
  [[nodiscard]] write_report write(const std::string& environment, const stored_document& before,
                                   const document_row& row);

 private:
  [[nodiscard]] store_response call(const store_request& request, const std::string& waiting_for);
  [[nodiscard]] std::variant<stored_document, store_problem> read_until(const std::string& environment,
                                                                        instant deadline);
  [[nodiscard]] write_report read_back(const std::string& environment, const stored_document& before,
                                       write_id id, instant deadline);
  /// Waits with growing, jittered pauses; returns false when the deadline is too near.
  [[nodiscard]] bool wait_before_retry(int attempt, instant deadline);

  http_caller* caller_;
  std::string address_;
  duration patience_;
  std::string last_reason_;
};

}  // namespace rhubarbpath::ctl
