#pragma once

#include <optional>
#include <string>
#include <variant>

#include "http_caller.hpp"
#include "rhubarbpath/protocol/document_row.hpp"
#include "rhubarbpath/state/store.hpp"

namespace rhubarbpath::ctl {

/// The stored document of one environment and its revision.
struct stored_document {
  revision at;  ///< Zero when there is no row.
  write_id written_by;
  std::optional<document_row> row;

  [[nodiscard]] document_version version() const { return row ? row->document.version : document_version{}; }
};

/// Why a document could not be read from the store.
struct store_error {
  std::string reason;
};

enum class write_result {
  written,
  conflict,  ///< A concurrent change, held by `other`, was stored first. Nothing was written.
  not_written,
  unknown,  ///< The write may have taken effect.
};

struct write_outcome {
  write_result result{write_result::unknown};
  stored_document other;
  std::string reason;
};

/// Reads and writes documents in the store over HTTP. Failed calls are retried for `retry_timeout`.
class store_client {
 public:
  store_client(http_caller& caller, std::string address, duration retry_timeout);

  [[nodiscard]] std::variant<stored_document, store_error> read(const std::string& environment);

  /// Writes by compare-and-swap on the revision of `before`; the version of `row` must be that of `before`
  /// plus one. A write without an answer is read back, and repeated with the same id while the row is
  /// unchanged.
  [[nodiscard]] write_outcome write(const std::string& environment, const stored_document& before,
                                    const document_row& row);

 private:
  [[nodiscard]] store_response call(const store_request& request, const std::string& waiting_for);
  [[nodiscard]] std::variant<stored_document, store_error> read_until(const std::string& environment,
                                                                      instant deadline);
  [[nodiscard]] write_outcome read_back(const std::string& environment, const stored_document& before,
                                        write_id id, instant deadline);
  /// Waits with exponential backoff and jitter. Returns false without waiting if the deadline would pass.
  [[nodiscard]] bool wait_before_retry(int attempt, instant deadline);

  http_caller* caller_;
  std::string address_;
  duration retry_timeout_;
  std::string last_reason_;
};

}  // namespace rhubarbpath::ctl
