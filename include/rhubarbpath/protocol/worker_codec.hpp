#pragma once

#include <string>
#include <string_view>

#include "absl/status/statusor.h"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/worker_api.hpp"

namespace rhubarbpath {

/// A command with its fencing epoch, under which the sender owns the worker's failure domain.
struct fenced_worker_command {
  epoch sender_epoch;
  worker_command command;
};

/// HTTP `POST` request to a worker.
struct worker_http_request {
  std::string path;  ///< "/tasks/start", "/tasks/stop", "/tasks/checkpoint" or "/tasks/renew".
  std::string body;
};

[[nodiscard]] worker_http_request encode_worker_command(const fenced_worker_command& command);
/// Fails with `kNotFound` for an unknown path and `kInvalidArgument` for a body that does not match it.
[[nodiscard]] absl::StatusOr<fenced_worker_command> decode_worker_command(std::string_view path,
                                                                          std::string_view body);

/// Response body of every command and of `GET /tasks`. A refused older epoch has HTTP status 409.
[[nodiscard]] std::string encode_worker_report(const worker_report& report);
[[nodiscard]] absl::StatusOr<worker_report> decode_worker_report(std::string_view body);

}  // namespace rhubarbpath
