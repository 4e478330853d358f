#include "rhubarbpath/protocol/api_json.hpp"

#include <absl/status/status.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

#include "json_fields.hpp"
#include "rhubarbpath/protocol/digest.hpp"
#include "rhubarbpath/protocol/document_yaml.hpp"
#include "yaml_fields.hpp"

namespace rhubarbpath {

namespace {

using detail::json;
using detail::json_fields;
using std::chrono::duration_cast;
using std::chrono::milliseconds;

// The accelerator mask has 32 bits; a worker has at most 8 accelerators.
constexpr int max_accelerator_index = 31;
constexpr std::size_t max_reason_bytes = 4096;
constexpr std::size_t digest_bytes = 64;
constexpr std::size_t job_id_digits = 24;
// Last millisecond of the year 9999. RFC 3339 cannot express later times.
constexpr std::int64_t max_instant_ms = 253'402'300'799'999;

std::int64_t to_ms(duration value) {
  return duration_cast<milliseconds>(value).count();
}

// --- proximity and job state ---

constexpr std::string_view proximity_names[] = {"worker", "rack", "failure_domain"};

std::string_view proximity_name(proximity value) {
  return proximity_names[static_cast<std::size_t>(value)];
}

proximity read_proximity(json_fields& fields, std::string_view key) {
  if (!fields.has(key)) {
    return proximity::worker;
  }
  const auto text = fields.text(key, max_id_bytes);
  for (const auto value : {proximity::worker, proximity::rack, proximity::failure_domain}) {
    if (proximity_name(value) == text) {
      return value;
    }
  }
  fields.problem(key, fmt::format("is the text \"{}\"", text), "worker, rack or failure_domain");
  return proximity::worker;
}

job_state read_job_state(json_fields& fields, std::string_view key) {
  const auto text = fields.text(key, max_id_bytes);
  for (int i = 0; i <= static_cast<int>(job_state::refused); ++i) {
    const auto state = static_cast<job_state>(i);
    if (to_string(state) == text) {
      return state;
    }
  }
  fields.problem(key, fmt::format("is the text \"{}\"", text),
                 "waiting, starting, running, stopping, finished, failed, cancelled or refused");
  return job_state::waiting;
}

// --- job specification ---

std::string read_id(json_fields& fields, std::string_view key) {
  auto text = fields.text(key, max_id_bytes);
  if (fields.ok() && !detail::is_valid_id(text)) {
    fields.problem(key, fmt::format("is the text \"{}\"", text),
                   "1 to 64 letters, digits, '.', '_' or '-', beginning with a letter or digit");
  }
  return text;
}

job_spec read_spec(json_fields& fields) {
  fields.allow_only({"team", "job_class", "accelerators_per_member", "members", "within", "guaranteed",
                     "checkpointable", "declared_run_time_ms", "command"});
  job_spec spec;
  spec.team = team_id{read_id(fields, "team")};
  spec.job_class = class_id{read_id(fields, "job_class")};
  spec.shape.accelerators_per_member = static_cast<int>(fields.integer("accelerators_per_member", 1, 8));
  const int accelerators = spec.shape.accelerators_per_member;
  if (accelerators != 1 && accelerators != 2 && accelerators != 4 && accelerators != 8) {
    fields.problem("accelerators_per_member", fmt::format("is the number {}", accelerators), "1, 2, 4 or 8");
  }
  spec.shape.members = static_cast<int>(fields.integer_or("members", 1, max_gang_members, 1));
  spec.shape.within = read_proximity(fields, "within");
  spec.guaranteed = fields.flag_or("guaranteed", spec.guaranteed);
  spec.checkpointable = fields.flag_or("checkpointable", spec.checkpointable);
  spec.declared_run_time =
      milliseconds{fields.integer("declared_run_time_ms", 1, to_ms(max_declared_run_time))};
  spec.command = fields.text("command", max_command_bytes);
  if (spec.command.find('\0') != std::string::npos) {
    fields.problem("command", "has a NUL character", "a text without one");
  }
  return spec;
}

json spec_to_json(const job_spec& spec) {
  return {{"team", spec.team.value()},
          {"job_class", spec.job_class.value()},
          {"accelerators_per_member", spec.shape.accelerators_per_member},
          {"members", spec.shape.members},
          {"within", proximity_name(spec.shape.within)},
          {"guaranteed", spec.guaranteed},
          {"checkpointable", spec.checkpointable},
          {"declared_run_time_ms", to_ms(spec.declared_run_time)},
          {"command", spec.command}};
}

// --- job record ---

json placement_to_json(const member_placement& member) {
  auto indexes = json::array();
  for (int i = 0; i <= max_accelerator_index; ++i) {
    if ((member.accelerators >> static_cast<unsigned>(i) & 1U) != 0) {
      indexes.push_back(i);
    }
  }
  return {{"worker", member.worker.value()}, {"accelerators", std::move(indexes)}};
}

member_placement read_placement(const json& value, json_fields& parent) {
  json_fields fields{value, "placement"};
  member_placement member;
  member.worker = worker_id{fields.text("worker", max_id_bytes)};
  for (const auto& index : fields.array("accelerators")) {
    const bool valid = index.is_number_unsigned() && index.get<std::uint64_t>() <= max_accelerator_index;
    if (!valid) {
      fields.problem("accelerators", fmt::format("has {}", detail::describe(index)),
                     fmt::format("whole numbers from 0 to {}", max_accelerator_index));
      break;
    }
    member.accelerators |= 1U << index.get<unsigned>();
  }
  if (!fields.ok()) {
    parent.problem("placement", "is malformed", std::string{fields.status().message()});
  }
  return member;
}

json record_to_json(const job_record& record) {
  auto placement = json::array();
  for (const auto& member : record.placement) {
    placement.push_back(placement_to_json(member));
  }
  json value{{"id", record.id.value()},
             {"state", to_string(record.state)},
             {"reason", record.reason},
             {"attempt", record.attempt.value()},
             {"preemptions", record.preemptions},
             {"failures", record.failures},
             {"accepted_at_ms", to_ms(record.accepted_at.time_since_epoch())},
             {"attained_service_ms", to_ms(record.attained_service)},
             {"placement", std::move(placement)}};
  if (record.spec != job_spec{}) {
    value["spec"] = spec_to_json(record.spec);
  }
  return value;
}

absl::StatusOr<job_record> record_from_json(const json& value) {
  json_fields fields{value, "job"};
  job_record record;
  record.id = job_id{fields.text("id", max_id_bytes)};
  record.state = read_job_state(fields, "state");
  record.reason = fields.text_or("reason", max_reason_bytes, "");
  record.attempt = attempt_number{fields.unsigned_integer("attempt")};
  record.preemptions = fields.count("preemptions");
  record.failures = fields.count("failures");
  record.accepted_at = instant{milliseconds{fields.integer("accepted_at_ms", 0, max_instant_ms)}};
  record.attained_service = milliseconds{fields.integer("attained_service_ms", 0, max_instant_ms)};
  for (const auto& member : fields.array("placement")) {
    record.placement.push_back(read_placement(member, fields));
  }
  if (fields.ok() && fields.has("spec")) {
    json_fields spec{fields.object("spec"), "job.spec"};
    record.spec = read_spec(spec);
    if (!spec.ok()) {
      return spec.status();
    }
  }
  if (!fields.ok()) {
    return fields.status();
  }
  return record;
}

// --- outcome ---

json outcome_to_json(const outcome& value) {
  json result{{"verdict", to_string(value.result)}, {"reason", value.reason}};
  if (value.retry_after) {
    result["retry_after_ms"] = to_ms(*value.retry_after);
  }
  return result;
}

outcome read_outcome(json_fields& fields) {
  outcome value;
  const auto text = fields.text("verdict", max_id_bytes);
  if (const auto known = verdict_from_string(text)) {
    value.result = *known;
  } else {
    fields.problem("verdict", fmt::format("is the text \"{}\"", text), "ran, not_run or may_have_run");
  }
  value.reason = fields.text_or("reason", max_reason_bytes, "");
  if (fields.has("retry_after_ms")) {
    value.retry_after = milliseconds{fields.integer("retry_after_ms", 0, max_instant_ms)};
  }
  return value;
}

// --- status ---

json domain_status_to_json(const failure_domain_status& domain) {
  return {{"id", domain.id.value()},
          {"owner", domain.owner.value()},
          {"epoch", domain.owner_epoch.value()},
          {"accelerators", domain.accelerators},
          {"free_accelerators", domain.free_accelerators},
          {"running_jobs", domain.running_jobs},
          {"waiting_jobs", domain.waiting_jobs},
          {"workers_set_aside", domain.workers_set_aside},
          {"uncovered_guarantees", domain.uncovered_guarantees}};
}

json service_status_to_json(const service_status& service) {
  return {{"id", service.id.value()},
          {"targets", service.targets},
          {"targets_set_aside", service.targets_set_aside},
          {"idle_slots", service.idle_slots},
          {"queued_requests", service.queued_requests}};
}

absl::StatusOr<failure_domain_status> domain_status_from_json(const json& value) {
  json_fields fields{value, "failure_domains"};
  failure_domain_status domain;
  domain.id = failure_domain_id{fields.text("id", max_id_bytes)};
  domain.owner = vm_id{fields.text_or("owner", max_id_bytes, "")};
  domain.owner_epoch = epoch{fields.unsigned_integer("epoch")};
  domain.accelerators = fields.count("accelerators");
  domain.free_accelerators = fields.count("free_accelerators");
  domain.running_jobs = fields.count("running_jobs");
  domain.waiting_jobs = fields.count("waiting_jobs");
  domain.workers_set_aside = fields.count("workers_set_aside");
  domain.uncovered_guarantees = fields.count("uncovered_guarantees");
  if (!fields.ok()) {
    return fields.status();
  }
  return domain;
}

absl::StatusOr<service_status> service_status_from_json(const json& value) {
  json_fields fields{value, "services"};
  service_status service;
  service.id = service_id{fields.text("id", max_id_bytes)};
  service.targets = fields.count("targets");
  service.targets_set_aside = fields.count("targets_set_aside");
  service.idle_slots = fields.count("idle_slots");
  service.queued_requests = fields.count("queued_requests");
  if (!fields.ok()) {
    return fields.status();
  }
  return service;
}

// --- headers ---

bool equals_ignoring_case(std::string_view left, std::string_view right) {
  const auto lower = [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; };
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [&](char a, char b) { return lower(a) == lower(b); });
}

bool is_visible_ascii(char c) {
  return c > ' ' && c <= '~';
}

using header_list = std::vector<std::pair<std::string, std::string>>;

/// Reads the headers of one call and records the first problem.
class header_reader {
 public:
  explicit header_reader(const header_list& headers) : headers_{&headers} {}

  /// Returns the value of the header, or nullopt if it is absent. A repeated header is a problem.
  std::optional<std::string_view> value(std::string_view name) {
    std::optional<std::string_view> found;
    for (const auto& [key, text] : *headers_) {
      if (!equals_ignoring_case(key, name)) {
        continue;
      }
      if (found) {
        problem(name, "is given twice", "the header once");
      }
      found = text;
    }
    return found;
  }

  bool flag(std::string_view name) {
    const auto text = value(name);
    if (text && *text != "true" && *text != "false") {
      problem(name, "is malformed", "true or false");
    }
    return text == "true";
  }

  void problem(std::string_view name, std::string_view found, std::string_view accepted) {
    if (status_.ok()) {
      status_ =
          absl::InvalidArgumentError(fmt::format("the header {} {}; accepted: {}", name, found, accepted));
    }
  }

  [[nodiscard]] const absl::Status& status() const noexcept { return status_; }

 private:
  const header_list* headers_;
  absl::Status status_;
};

std::optional<duration> read_deadline(header_reader& reader) {
  constexpr std::string_view name = "Rhubarb-Deadline-Ms";
  const auto text = reader.value(name);
  if (!text) {
    return std::nullopt;
  }
  const auto number = detail::parse_decimal(*text);
  if (!number || *number < 1 || milliseconds{*number} > max_deadline) {
    reader.problem(name, "is malformed",
                   fmt::format("a whole number of milliseconds from 1 to {}", to_ms(max_deadline)));
    return std::nullopt;
  }
  return milliseconds{*number};
}

}  // namespace

absl::StatusOr<job_spec> parse_job_submission(std::string_view body) {
  const auto parsed = detail::parse_json_object(body, max_submission_bytes);
  if (!parsed.ok()) {
    return parsed.status();
  }
  json_fields fields{*parsed, ""};
  auto spec = read_spec(fields);
  if (!fields.ok()) {
    return fields.status();
  }
  return spec;
}

std::string encode_job_submission(const job_spec& spec) {
  return detail::dump_json(spec_to_json(spec));
}

job_id job_id_for(const team_id& team, const idempotency_key& key) {
  // Neither part can contain a line feed, so the concatenation is unambiguous.
  const auto digest = sha256_hex(fmt::format("{}\n{}", team.value(), key.value()));
  return job_id{"j-" + digest.substr(0, job_id_digits)};
}

std::string encode_job_answer(const job_answer& answer) {
  auto value = outcome_to_json(answer.result);
  if (answer.job) {
    value["job"] = record_to_json(*answer.job);
  }
  return detail::dump_json(value);
}

absl::StatusOr<job_answer> decode_job_answer(std::string_view body) {
  const auto parsed = detail::parse_json_object(body, max_answer_bytes);
  if (!parsed.ok()) {
    return parsed.status();
  }
  json_fields fields{*parsed, ""};
  job_answer answer;
  answer.result = read_outcome(fields);
  if (!fields.ok()) {
    return fields.status();
  }
  if (fields.has("job")) {
    auto record = record_from_json(fields.object("job"));
    if (!record.ok()) {
      return record.status();
    }
    answer.job = *std::move(record);
  }
  return answer;
}

std::string encode_job_record(const job_record& record) {
  return detail::dump_json(record_to_json(record));
}

absl::StatusOr<job_record> decode_job_record(std::string_view body) {
  const auto parsed = detail::parse_json_object(body, max_answer_bytes);
  if (!parsed.ok()) {
    return parsed.status();
  }
  return record_from_json(*parsed);
}

std::string encode_outcome(const outcome& value) {
  return detail::dump_json(outcome_to_json(value));
}

absl::StatusOr<outcome> decode_outcome(std::string_view body) {
  const auto parsed = detail::parse_json_object(body, max_answer_bytes);
  if (!parsed.ok()) {
    return parsed.status();
  }
  json_fields fields{*parsed, ""};
  auto value = read_outcome(fields);
  if (!fields.ok()) {
    return fields.status();
  }
  return value;
}

std::string encode_status(const entry_status& status) {
  auto domains = json::array();
  for (const auto& domain : status.failure_domains) {
    domains.push_back(domain_status_to_json(domain));
  }
  auto services = json::array();
  for (const auto& service : status.services) {
    services.push_back(service_status_to_json(service));
  }
  return detail::dump_json({{"vm", status.vm.value()},
                            {"environment", status.environment},
                            {"document_version", status.version.value()},
                            {"digest", status.digest},
                            {"view", status.view.value()},
                            {"view_members", status.view_members},
                            {"draining", status.draining},
                            {"store_reachable", status.store_reachable},
                            {"failure_domains", std::move(domains)},
                            {"services", std::move(services)}});
}

absl::StatusOr<entry_status> decode_status(std::string_view body) {
  const auto parsed = detail::parse_json_object(body, max_answer_bytes);
  if (!parsed.ok()) {
    return parsed.status();
  }
  json_fields fields{*parsed, ""};
  entry_status status;
  status.vm = vm_id{fields.text("vm", max_id_bytes)};
  status.environment = fields.text("environment", max_id_bytes);
  status.version = document_version{fields.unsigned_integer("document_version")};
  status.digest = fields.text_or("digest", digest_bytes, "");
  status.view = view_number{fields.unsigned_integer("view")};
  status.view_members = fields.count("view_members");
  status.draining = fields.flag("draining");
  status.store_reachable = fields.flag("store_reachable");
  for (const auto& value : fields.array("failure_domains")) {
    auto domain = domain_status_from_json(value);
    if (!domain.ok()) {
      return domain.status();
    }
    status.failure_domains.push_back(*std::move(domain));
  }
  for (const auto& value : fields.array("services")) {
    auto service = service_status_from_json(value);
    if (!service.ok()) {
      return service.status();
    }
    status.services.push_back(*std::move(service));
  }
  if (!fields.ok()) {
    return fields.status();
  }
  return status;
}

absl::StatusOr<caller_headers> parse_caller_headers(const header_list& headers) {
  header_reader reader{headers};
  caller_headers result;
  if (const auto key = reader.value("Idempotency-Key")) {
    if (key->empty() || key->size() > max_key_bytes ||
        !std::all_of(key->begin(), key->end(), is_visible_ascii)) {
      reader.problem("Idempotency-Key", "is malformed",
                     fmt::format("1 to {} visible ASCII characters without spaces", max_key_bytes));
    }
    result.key = idempotency_key{*key};
  }
  result.non_idempotent = reader.flag("Rhubarb-Non-Idempotent");
  result.first_attempt = reader.flag("Rhubarb-First-Attempt");
  result.deadline = read_deadline(reader);
  if (const auto team = reader.value("Rhubarb-Team")) {
    if (!detail::is_valid_id(*team)) {
      reader.problem("Rhubarb-Team", "is malformed",
                     "1 to 64 letters, digits, '.', '_' or '-', beginning with a letter or digit");
    }
    result.team = team_id{*team};
  }
  if (!reader.status().ok()) {
    return reader.status();
  }
  // W3C Trace Context requires a repeated traceparent to be ignored, so it does not fail the call.
  header_reader trace_reader{headers};
  const auto trace = trace_reader.value("traceparent");
  result.traceparent = trace && trace_reader.status().ok() ? std::string{*trace} : std::string{};
  return result;
}

absl::StatusOr<duration> parse_wait(std::string_view query) {
  if (query.empty()) {
    return duration::zero();
  }
  constexpr std::string_view name = "wait_ms=";
  const auto number =
      query.starts_with(name) ? detail::parse_decimal(query.substr(name.size())) : std::nullopt;
  if (!number || milliseconds{*number} > max_wait) {
    return absl::InvalidArgumentError(
        fmt::format("the query is malformed; accepted: none, or wait_ms with a whole number from 0 to {}",
                    to_ms(max_wait)));
  }
  return milliseconds{*number};
}

int http_status(answer_kind kind) noexcept {
  switch (kind) {
    case answer_kind::done:
      return 200;
    case answer_kind::accepted:
      return 202;
    case answer_kind::malformed:
      return 400;
    case answer_kind::unknown:
      return 404;
    case answer_kind::wrong_method:
      return 405;
    case answer_kind::key_conflict:
      return 409;
    case answer_kind::too_large:
      return 413;
    case answer_kind::refused:
      return 422;
    case answer_kind::shed:
      return 429;
    case answer_kind::target_failed:
      return 502;
    case answer_kind::unavailable:
      return 503;
    case answer_kind::timed_out:
      return 504;
  }
  return 503;
}

}  // namespace rhubarbpath
