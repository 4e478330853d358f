#include "store_client.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <utility>

#include "rhubarbpath/protocol/store_codec.hpp"

namespace rhubarbpath::ctl {

namespace {

constexpr duration call_timeout = std::chrono::seconds{2};
constexpr duration initial_backoff = std::chrono::milliseconds{100};
constexpr duration max_backoff = std::chrono::seconds{2};
constexpr int max_backoff_doublings = 5;

bool is_write(const store_request& request) {
  return std::holds_alternative<store_put>(request);
}

}  // namespace

store_client::store_client(http_caller& caller, std::string address, duration retry_timeout)
    : caller_{&caller}, address_{std::move(address)}, retry_timeout_{retry_timeout} {}

store_response store_client::call(const store_request& request, const std::string& waiting_for) {
  const auto text = encode_store_request(request);
  const http_request http{.method = "POST",
                          .path = text.path,
                          .query = {},
                          .headers = {{"Content-Type", "application/json"}},
                          .body = text.body};
  const auto result = caller_->call(address_, http, call_timeout, waiting_for);
  if (const auto* failed = std::get_if<http_call_failed>(&result)) {
    last_reason_ = failed->reason;
    return failed->bytes_sent ? store_failure::unknown : store_failure::unavailable;
  }
  const auto& answer = std::get<http_response>(result);
  auto response = decode_store_response(answer.status, answer.body);
  if (!response.ok()) {
    last_reason_ = fmt::format("invalid store response with status {}: {}", answer.status,
                               std::string{response.status().message()});
    return is_write(request) ? store_failure::unknown : store_failure::invalid;
  }
  if (const auto* failure = std::get_if<store_failure>(&*response)) {
    last_reason_ = fmt::format("the store answered \"{}\"", to_string(*failure));
  }
  return *std::move(response);
}

bool store_client::wait_before_retry(int attempt, instant deadline) {
  const auto base = std::min(max_backoff, initial_backoff * (1 << std::min(attempt, max_backoff_doublings)));
  const auto pause = caller_->random().jittered(base);
  if (caller_->now() + pause >= deadline) {
    return false;
  }
  caller_->pause(pause);
  return true;
}

std::variant<stored_document, store_error> store_client::read(const std::string& environment) {
  return read_until(environment, caller_->now() + retry_timeout_);
}

std::variant<stored_document, store_error> store_client::read_until(const std::string& environment,
                                                                    instant deadline) {
  const auto waiting_for = fmt::format("the store at {} to read the {} document", address_, environment);
  for (int attempt = 0;; ++attempt) {
    const auto response = call(store_get{document_key(environment)}, waiting_for);
    if (const auto* rows = std::get_if<store_rows>(&response)) {
      if (rows->rows.empty()) {
        return stored_document{};
      }
      const auto& found = rows->rows.front();
      auto row = decode_document_row(found.value);
      if (!row.ok()) {
        return store_error{fmt::format("the stored {} document is malformed: {}", environment,
                                       std::string{row.status().message()})};
      }
      return stored_document{found.at, found.written_by, *std::move(row)};
    }
    const auto* failure = std::get_if<store_failure>(&response);
    if (failure == nullptr || *failure == store_failure::invalid || !wait_before_retry(attempt, deadline)) {
      return store_error{fmt::format("the store at {} did not answer a read: {}", address_, last_reason_)};
    }
  }
}

write_outcome store_client::write(const std::string& environment, const stored_document& before,
                                  const document_row& row) {
  const auto value = encode_document_row(row);
  if (!value.ok()) {
    return {write_result::not_written, {}, std::string{value.status().message()}};
  }
  // Zero means no write, and JSON represents integers exactly only up to 53 bits.
  const write_id id{1 + caller_->random().below((std::uint64_t{1} << 53U) - 1)};
  const store_put put{document_key(environment), *value, before.at, id, {}};
  const auto waiting_for = fmt::format("the store at {} to write the {} document", address_, environment);
  const auto deadline = caller_->now() + retry_timeout_;
  bool uncertain = false;
  for (int attempt = 0;; ++attempt) {
    const auto response = call(put, waiting_for);
    if (std::holds_alternative<store_written>(response)) {
      return {write_result::written, {}, {}};
    }
    const auto* failure = std::get_if<store_failure>(&response);
    const auto kind = failure != nullptr ? *failure : store_failure::unknown;
    uncertain = uncertain || kind == store_failure::unknown;
    if (kind == store_failure::invalid && !uncertain) {
      return {write_result::not_written, {}, last_reason_};
    }
    if (kind == store_failure::conflict || kind == store_failure::unknown) {
      auto report = read_back(environment, before, id, deadline);
      const bool unchanged = report.result == write_result::not_written;
      if (!unchanged) {
        return report;
      }
    }
    if (!wait_before_retry(attempt, deadline)) {
      // The row was unchanged when it was last read, but a delayed write can still take effect.
      return {uncertain ? write_result::unknown : write_result::not_written,
              {},
              fmt::format("the store at {} did not confirm the write: {}", address_, last_reason_)};
    }
  }
}

/// `not_written` means that the row is unchanged so far; a delayed write can still take effect.
write_outcome store_client::read_back(const std::string& environment, const stored_document& before,
                                      write_id id, instant deadline) {
  auto found = read_until(environment, std::max(deadline, caller_->now() + call_timeout));
  if (const auto* problem = std::get_if<store_error>(&found)) {
    return {write_result::unknown, {}, problem->reason};
  }
  auto& current = std::get<stored_document>(found);
  if (current.written_by == id && current.at > before.at) {
    return {write_result::written, {}, {}};
  }
  if (current.at == before.at) {
    return {write_result::not_written, {}, {}};
  }
  if (current.version() > before.version().next()) {
    // An intermediate version was overwritten and may have been this write.
    return {write_result::unknown, std::move(current),
            "other changes were made before the write could be read back"};
  }
  return {write_result::conflict, std::move(current), {}};
}

}  // namespace rhubarbpath::ctl
