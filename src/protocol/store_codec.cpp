#include "rhubarbpath/protocol/store_codec.hpp"

#include <utility>

#include "strict_json.hpp"

namespace rhubarbpath {
namespace {

using detail::json;
using detail::micros;
using detail::number;
using detail::object_reader;

constexpr std::string_view get_path = "/kv/get";
constexpr std::string_view put_path = "/kv/put";
constexpr std::string_view erase_path = "/kv/erase";
constexpr std::string_view list_path = "/kv/list";
constexpr std::string_view watch_path = "/kv/watch";
constexpr std::string_view grant_path = "/lease/grant";
constexpr std::string_view renew_path = "/lease/renew";

struct request_encoder {
  store_http_request operator()(const store_get& get) const { return make(get_path, {{"key", get.key}}); }
  store_http_request operator()(const store_put& put) const {
    return make(put_path, {{"key", put.key},
                           {"value", absl::Base64Escape(put.value)},
                           {"expected", number(put.expected)},
                           {"write_id", number(put.id)},
                           {"lease", number(put.lease)}});
  }
  store_http_request operator()(const store_erase& erase) const {
    return make(erase_path, {{"key", erase.key}, {"expected", number(erase.expected)}});
  }
  store_http_request operator()(const store_list& list) const {
    return make(list_path, {{"prefix", list.prefix}, {"start", list.start}, {"limit", list.limit}});
  }
  store_http_request operator()(const store_lease_grant& grant) const {
    return make(grant_path, {{"time_to_live_us", micros(grant.time_to_live)}});
  }
  store_http_request operator()(const store_lease_renew& renew) const {
    return make(renew_path, {{"lease", number(renew.lease)}});
  }
  store_http_request operator()(const store_watch& watch) const {
    return make(watch_path,
                {{"key", watch.key}, {"after", number(watch.after)}, {"wait_us", micros(watch.wait)}});
  }

 private:
  static store_http_request make(std::string_view path, const json& body) {
    return {.path = std::string{path}, .body = detail::to_text(body)};
  }
};

template <class T>
absl::StatusOr<store_request> finish(object_reader& reader, T request) {
  if (auto status = reader.finish(); !status.ok()) {
    return status;
  }
  return store_request{std::move(request)};
}

absl::StatusOr<store_request> decode_put(object_reader& reader) {
  store_put put;
  reader.field("key", put.key);
  reader.base64_field("value", put.value);
  reader.field("expected", put.expected);
  reader.field("write_id", put.id);
  reader.field("lease", put.lease);
  return finish(reader, std::move(put));
}

absl::StatusOr<store_request> decode_list(object_reader& reader) {
  store_list list;
  reader.field("prefix", list.prefix);
  reader.field("start", list.start);
  reader.field("limit", list.limit);
  if (reader.ok() && list.limit <= 0) {
    reader.fail("limit must be above zero");
  }
  return finish(reader, std::move(list));
}

absl::StatusOr<store_request> decode_watch(object_reader& reader) {
  store_watch watch;
  reader.field("key", watch.key);
  reader.field("after", watch.after);
  reader.field("wait_us", watch.wait);
  return finish(reader, std::move(watch));
}

absl::StatusOr<store_request> decode_lease_call(std::string_view path, object_reader& reader) {
  if (path == grant_path) {
    store_lease_grant grant{};
    reader.field("time_to_live_us", grant.time_to_live);
    return finish(reader, grant);
  }
  store_lease_renew renew;
  reader.field("lease", renew.lease);
  return finish(reader, renew);
}

constexpr int to_http_status(store_failure failure) {
  switch (failure) {
    case store_failure::conflict:
      return 409;
    case store_failure::limited:
      return 429;
    case store_failure::unavailable:
      return 503;
    case store_failure::unknown:
      return 504;
    case store_failure::invalid:
      return 400;
  }
  return 504;
}

constexpr store_failure all_failures[] = {store_failure::conflict, store_failure::limited,
                                          store_failure::unavailable, store_failure::unknown,
                                          store_failure::invalid};

json encode_rows(const store_rows& rows) {
  json list = json::array();
  for (const auto& row : rows.rows) {
    list.push_back({{"key", row.key},
                    {"value", absl::Base64Escape(row.value)},
                    {"revision", number(row.at)},
                    {"write_id", number(row.written_by)}});
  }
  return {{"rows", std::move(list)}, {"more", rows.more}};
}

struct response_encoder {
  store_http_response operator()(const store_rows& rows) const {
    return {.body = detail::to_text(encode_rows(rows))};
  }
  store_http_response operator()(const store_written& written) const {
    return {.body = detail::to_text({{"revision", number(written.at)}})};
  }
  store_http_response operator()(const store_lease_granted& granted) const {
    const json body{{"lease", number(granted.lease)}, {"time_to_live_us", micros(granted.time_to_live)}};
    return {.body = detail::to_text(body)};
  }
  store_http_response operator()(const store_unchanged& /*unchanged*/) const {
    return {.body = detail::to_text({{"unchanged", true}})};
  }
  store_http_response operator()(store_failure failure) const {
    return {.status = to_http_status(failure), .body = detail::to_text({{"failure", to_string(failure)}})};
  }
};

absl::StatusOr<store_response> decode_rows(object_reader& reader) {
  store_rows rows;
  reader.field("more", rows.more);
  const json* list = reader.array("rows");
  if (auto status = reader.finish(); !status.ok()) {
    return status;
  }
  rows.rows.reserve(list->size());
  for (const auto& item : *list) {
    object_reader row_reader{item};
    auto& row = rows.rows.emplace_back();
    row_reader.field("key", row.key);
    row_reader.base64_field("value", row.value);
    row_reader.field("revision", row.at);
    row_reader.field("write_id", row.written_by);
    if (auto status = row_reader.finish(); !status.ok()) {
      return status;
    }
  }
  return store_response{std::move(rows)};
}

absl::StatusOr<store_response> decode_failure(int status, object_reader& reader) {
  std::string name;
  reader.field("failure", name);
  if (auto finished = reader.finish(); !finished.ok()) {
    return finished;
  }
  for (const auto failure : all_failures) {
    if (to_string(failure) == name && to_http_status(failure) == status) {
      return store_response{failure};
    }
  }
  return absl::InvalidArgumentError(absl::StrCat("failure ", name, " does not fit status ", status));
}

absl::StatusOr<store_response> decode_success(const json& body, object_reader& reader) {
  if (body.contains("rows")) {
    return decode_rows(reader);
  }
  store_response response;
  if (body.contains("lease")) {
    store_lease_granted granted{};
    reader.field("lease", granted.lease);
    reader.field("time_to_live_us", granted.time_to_live);
    response = granted;
  } else if (body.contains("unchanged")) {
    bool unchanged{false};
    reader.field("unchanged", unchanged);
    if (!unchanged) {
      reader.fail("unchanged must be true");
    }
    response = store_unchanged{};
  } else {
    store_written written;
    reader.field("revision", written.at);
    response = written;
  }
  if (auto status = reader.finish(); !status.ok()) {
    return status;
  }
  return response;
}

}  // namespace

store_http_request encode_store_request(const store_request& request) {
  return std::visit(request_encoder{}, request);
}

absl::StatusOr<store_request> decode_store_request(std::string_view path, std::string_view body) {
  const json parsed = json::parse(body, nullptr, false);
  object_reader reader{parsed};
  if (path == get_path) {
    store_get get;
    reader.field("key", get.key);
    return finish(reader, std::move(get));
  }
  if (path == put_path) {
    return decode_put(reader);
  }
  if (path == erase_path) {
    store_erase erase;
    reader.field("key", erase.key);
    reader.field("expected", erase.expected);
    return finish(reader, std::move(erase));
  }
  if (path == list_path) {
    return decode_list(reader);
  }
  if (path == watch_path) {
    return decode_watch(reader);
  }
  if (path == grant_path || path == renew_path) {
    return decode_lease_call(path, reader);
  }
  return absl::NotFoundError(absl::StrCat("the store has no endpoint ", std::string{path}));
}

store_http_response encode_store_response(const store_response& response) {
  return std::visit(response_encoder{}, response);
}

absl::StatusOr<store_response> decode_store_response(int status, std::string_view body) {
  const json parsed = json::parse(body, nullptr, false);
  object_reader reader{parsed};
  if (!reader.ok()) {
    return reader.status();
  }
  return status == 200 ? decode_success(parsed, reader) : decode_failure(status, reader);
}

}  // namespace rhubarbpath
