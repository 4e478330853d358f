#include "rhubarbpath/protocol/document_yaml.hpp"

#include <absl/container/flat_hash_map.h>
#include <absl/status/status.h>
#include <fmt/format.h>
#include <fmt/ranges.h>

#include <array>
#include <string>
#include <utility>

#include "guarantee_checks.hpp"
#include "worker_pattern.hpp"
#include "yaml_fields.hpp"
#include "yaml_tree.hpp"

namespace rhubarbpath {

namespace {

using detail::integer_range;
using detail::map_fields;
using detail::problem_list;
using detail::yaml_node;

constexpr integer_range worker_count_range{1, 4096};
constexpr integer_range number_range{0, 1'000'000};
constexpr integer_range cores_range{1, 4096};
// A gang has at most 64 members, so no job could use a larger guarantee.
constexpr integer_range members_range{1, 64};
constexpr integer_range count_range{1, 100'000};
constexpr integer_range limit_range{0, 10'000'000};
constexpr integer_range positive_range{1, 1'000'000};
constexpr integer_range slots_range{1, 10'000};
constexpr integer_range hourly_range{0, 1'000'000};
// Bounds the time of the capacity check, which compares each guarantee with every rack.
constexpr int max_document_guarantees = 5'000;
constexpr duration shortest_deadline = std::chrono::milliseconds{1};
constexpr duration longest_deadline = std::chrono::hours{24};

/// Settings of the workers of a rack. `rack_defaults` holds those for racks that give none.
struct rack_values {
  int accelerators{worker_spec{}.accelerators};
  int cores{worker_spec{}.cores};
  int memory_gib{worker_spec{}.memory_gib};
  std::string service;
  std::string worker_id{"{rack}-w{n}"};
};

/// The ids of one kind, with the line of the first use of each.
class unique_id_set {
 public:
  unique_id_set(std::string kind, problem_list& problems) : kind_{std::move(kind)}, problems_{&problems} {}

  /// Returns false for an empty id, which was reported when it was read, and for a duplicate, which is
  /// reported here.
  bool insert(const std::string& id, int line) {
    if (id.empty()) {
      return false;
    }
    const auto [position, is_new] = lines_.emplace(id, line);
    if (!is_new) {
      problems_->add(line, fmt::format("{} \"{}\" is already used at line {}; accepted: one that is unique",
                                       kind_, id, position->second));
    }
    return is_new;
  }
  [[nodiscard]] bool has(const std::string& id) const { return lines_.contains(id); }

 private:
  std::string kind_;
  absl::flat_hash_map<std::string, int> lines_;
  problem_list* problems_;
};

/// Reference to an id that may be defined later in the document.
struct unresolved_reference {
  std::string id;
  int line;
  std::string source_label;
};

std::string item_label(std::string_view kind, std::string_view id) {
  return id.empty() ? std::string{kind} : fmt::format("{} \"{}\"", kind, id);
}

class document_builder {
 public:
  explicit document_builder(std::string_view environment) { result_.document.environment = environment; }

  parsed_document build(const yaml_node& root) {
    map_fields top{root,
                   "document",
                   {"rack_defaults", "regions", "teams", "services", "job_classes", "budgets"},
                   problems_};
    read_rack_defaults(top);
    for (const auto& node : top.list("regions", true)) {
      read_region(node);
    }
    for (const auto& node : top.list("services", false)) {
      read_service(node);
    }
    for (const auto& node : top.list("teams", true)) {
      read_team(node);
    }
    for (const auto& node : top.list("job_classes", false)) {
      read_job_class(node);
    }
    read_budgets(top);
    check_references();
    check_guarantees(top);
    result_.problems = problems_.take();
    return std::move(result_);
  }

 private:
  void read_rack_defaults(map_fields& top) {
    if (const auto* node = top.find("rack_defaults")) {
      map_fields fields{
          *node, "rack_defaults", {"accelerators", "cores", "memory", "service", "worker_id"}, problems_};
      read_rack_values(fields, defaults_);
    }
  }

  void read_rack_values(map_fields& fields, rack_values& values) {
    values.accelerators = read_accelerator_count(fields, "accelerators", values.accelerators);
    values.cores = fields.integer("cores", values.cores, cores_range);
    values.memory_gib = fields.memory_gib("memory", values.memory_gib);
    if (auto service = fields.optional_id("service")) {
      service_references_.push_back({*service, fields.line_of("service"), fields.label()});
      values.service = *std::move(service);
    }
    if (auto pattern = fields.text("worker_id")) {
      values.worker_id = *std::move(pattern);
    }
  }

  static int read_accelerator_count(map_fields& fields, std::string_view key, int fallback) {
    const int count = fields.integer(key, fallback, {0, 1'000'000});
    if (count != 1 && count != 2 && count != 4 && count != 8) {
      fields.problem(key, fmt::format("is {}; accepted: 1, 2, 4 or 8", count));
      return fallback;
    }
    return count;
  }

  void read_region(const yaml_node& node) {
    map_fields fields{node, "region", {"id", "failure_domains"}, problems_};
    const auto id = fields.id("id");
    fields.set_label(item_label("region", id));
    if (region_ids_.insert(id, fields.line_of("id"))) {
      result_.document.regions.push_back({region_id{id}});
    }
    for (const auto& item : fields.list("failure_domains", true)) {
      read_failure_domain(item, region_id{id});
    }
  }

  void read_failure_domain(const yaml_node& node, const region_id& region) {
    map_fields fields{node, "failure domain", {"id", "racks"}, problems_};
    const auto id = fields.id("id");
    fields.set_label(item_label("failure domain", id));
    if (domain_ids_.insert(id, fields.line_of("id"))) {
      result_.document.failure_domains.push_back({failure_domain_id{id}, region});
    }
    for (const auto& item : fields.list("racks", true)) {
      read_rack(item, failure_domain_id{id});
    }
  }

  void read_rack(const yaml_node& node, const failure_domain_id& domain) {
    map_fields fields{node,
                      "rack",
                      {"id", "workers", "worker_id", "first_number", "address", "first_address",
                       "accelerators", "cores", "memory", "service"},
                      problems_};
    const auto id = fields.id("id");
    fields.set_label(item_label("rack", id));
    if (rack_ids_.insert(id, fields.line_of("id"))) {
      result_.document.racks.push_back({rack_id{id}, domain});
      result_.lines.racks.push_back(fields.line());
    }
    auto values = defaults_;
    read_rack_values(fields, values);
    const int count = fields.required_integer("workers", 1, worker_count_range);
    rack_sizes_.push_back({domain, count, values.accelerators});
    add_workers(fields, id, count, values);
  }

  void add_workers(map_fields& fields, const std::string& rack, int count, const rack_values& values) {
    worker_total_ += count;
    if (worker_total_ > max_document_workers) {
      if (worker_total_ - count <= max_document_workers) {
        fields.problem("workers", fmt::format("brings the document to {} workers; accepted: at most {}",
                                              worker_total_, max_document_workers));
      }
      return;
    }
    if (count > 1 && values.worker_id.find("{n}") == std::string::npos) {
      fields.problem("worker_id",
                     fmt::format("is \"{}\", which names {} workers alike; accepted: a pattern "
                                 "with {{n}} for the worker's number, for example {{rack}}-w{{n}}",
                                 values.worker_id, count));
      return;
    }
    const int first = fields.integer("first_number", 1, number_range);
    const auto addresses = worker_addresses(fields, rack, count, first);
    for (int i = 0; i < count; ++i) {
      const auto address = addresses.empty() ? std::string{} : addresses[static_cast<std::size_t>(i)];
      if (!add_worker(fields, rack, first + i, address, values)) {
        return;
      }
    }
  }

  /// Returns false after a problem that the other workers of the rack would repeat.
  bool add_worker(map_fields& fields, const std::string& rack, int number, const std::string& address,
                  const rack_values& values) {
    const auto id = detail::expand_pattern(values.worker_id, rack, number);
    if (!detail::is_valid_id(id)) {
      if (!rack.empty()) {
        fields.problem("worker_id", fmt::format("makes the id \"{}\"; {}", id, detail::accepted_id));
      }
      return false;
    }
    if (!worker_ids_.insert(id, fields.line()) ||
        (!address.empty() && !addresses_.insert(address, fields.line()))) {
      return false;
    }
    result_.document.workers.push_back({.id = worker_id{id},
                                        .rack = rack_id{rack},
                                        .service = service_id{values.service},
                                        .address = address,
                                        .accelerators = values.accelerators,
                                        .cores = values.cores,
                                        .memory_gib = values.memory_gib});
    return true;
  }

  /// Returns one address per worker, or an empty list after a problem.
  static std::vector<std::string> worker_addresses(map_fields& fields, const std::string& rack, int count,
                                                   int first) {
    constexpr std::string_view accepted_forms =
        "accepted: either first_address (consecutive ports, for example 127.0.0.1:21000) or address "
        "(a pattern with {n}, for example 10.3.1.{n}:9000)";
    if (fields.has("address") && fields.has("first_address")) {
      fields.problem("address", fmt::format("is given beside first_address; {}", accepted_forms));
      return {};
    }
    if (const auto pattern = fields.text("address")) {
      return pattern_addresses(fields, *pattern, rack, count, first);
    }
    if (const auto text = fields.text("first_address")) {
      return consecutive_addresses(fields, *text, count);
    }
    if (!fields.has("address") && !fields.has("first_address")) {
      fields.problem("first_address", fmt::format("is missing; {}", accepted_forms));
    }
    return {};
  }

  static std::vector<std::string> pattern_addresses(map_fields& fields, const std::string& pattern,
                                                    const std::string& rack, int count, int first) {
    if (count > 1 && pattern.find("{n}") == std::string::npos) {
      fields.problem("address",
                     fmt::format("\"{}\" is the same for {} workers; accepted: a pattern with {{n}} "
                                 "for the worker's number",
                                 pattern, count));
      return {};
    }
    std::vector<std::string> addresses;
    for (int i = 0; i < count; ++i) {
      addresses.push_back(detail::expand_pattern(pattern, rack, first + i));
      if (!detail::parse_socket_address(addresses.back())) {
        fields.problem("address",
                       fmt::format("makes \"{}\"; {}", addresses.back(), detail::accepted_address));
        return {};
      }
    }
    return addresses;
  }

  static std::vector<std::string> consecutive_addresses(map_fields& fields, const std::string& text,
                                                        int count) {
    const auto first = detail::parse_socket_address(text);
    if (!first) {
      fields.problem("first_address", fmt::format("is \"{}\"; {}", text, detail::accepted_address));
      return {};
    }
    if (first->port + count - 1 > 65535) {
      fields.problem("first_address", fmt::format("is \"{}\", from which {} ports go past 65535; accepted: a "
                                                  "first port of at most {}",
                                                  text, count, 65536 - count));
      return {};
    }
    std::vector<std::string> addresses;
    addresses.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
      addresses.push_back(fmt::format("{}:{}", first->host, first->port + i));
    }
    return addresses;
  }

  void read_team(const yaml_node& node) {
    map_fields fields{node,
                      "team",
                      {"id", "guarantees", "max_accelerators", "max_waiting_jobs", "max_queued_requests"},
                      problems_};
    team_spec team;
    team.id = team_id{fields.id("id")};
    fields.set_label(item_label("team", team.id.value()));
    team.max_accelerators = fields.integer("max_accelerators", team.max_accelerators, limit_range);
    team.max_waiting_jobs = fields.integer("max_waiting_jobs", team.max_waiting_jobs, limit_range);
    team.max_queued_requests = fields.integer("max_queued_requests", team.max_queued_requests, limit_range);
    std::vector<int> lines;
    for (const auto& item : fields.list("guarantees", false)) {
      if (++guarantee_total_ > max_document_guarantees) {
        break;
      }
      read_guarantee(item, team, lines);
    }
    if (team_ids_.insert(team.id.value(), fields.line_of("id"))) {
      result_.document.teams.push_back(std::move(team));
      result_.lines.teams.push_back(fields.line());
      result_.lines.guarantees.push_back(std::move(lines));
    }
  }

  void read_guarantee(const yaml_node& node, team_spec& team, std::vector<int>& lines) {
    const auto label = fmt::format("team \"{}\", guarantee {}", team.id.value(), team.guarantees.size() + 1);
    map_fields fields{
        node, label, {"count", "members", "accelerators_per_member", "within", "failure_domain"}, problems_};
    guarantee_spec guarantee;
    guarantee.count = fields.integer("count", 1, count_range);
    guarantee.shape.members = fields.integer("members", 1, members_range);
    if (!fields.has("accelerators_per_member") && node.kind == detail::yaml_kind::map) {
      fields.problem("accelerators_per_member", "is missing; accepted: 1, 2, 4 or 8");
    }
    guarantee.shape.accelerators_per_member = read_accelerator_count(fields, "accelerators_per_member", 1);
    guarantee.shape.within = read_proximity(fields);
    if (auto domain = fields.optional_id("failure_domain")) {
      if (!domain_ids_.has(*domain)) {
        fields.problem("failure_domain", fmt::format("\"{}\" is not defined; accepted: {}", *domain,
                                                     defined_failure_domains()));
        domain.reset();
      } else {
        guarantee.failure_domain = failure_domain_id{*std::move(domain)};
      }
    }
    check_duplicate(fields, team, guarantee);
    team.guarantees.push_back(guarantee);
    lines.push_back(fields.line());
  }

  static void check_duplicate(map_fields& fields, const team_spec& team, const guarantee_spec& guarantee) {
    for (const auto& other : team.guarantees) {
      if (other.shape == guarantee.shape && other.failure_domain == guarantee.failure_domain) {
        fields.problem("count",
                       "repeats the shape and failure domain of an earlier guarantee; accepted: one "
                       "guarantee with the sum of both counts");
        return;
      }
    }
  }

  static proximity read_proximity(map_fields& fields) {
    const auto text = fields.text("within");
    if (!text || *text == "worker") {
      return proximity::worker;
    }
    if (*text == "rack") {
      return proximity::rack;
    }
    if (*text != "failure_domain") {
      fields.problem("within", fmt::format("is \"{}\"; accepted: worker, rack or failure_domain", *text));
    }
    return proximity::failure_domain;
  }

  [[nodiscard]] std::string defined_failure_domains() const {
    std::vector<std::string_view> names;
    for (const auto& domain : result_.document.failure_domains) {
      names.push_back(domain.id.value());
    }
    return names.empty() ? "a failure domain that the document defines"
                         : fmt::format("{}", fmt::join(names, ", "));
  }

  void read_service(const yaml_node& node) {
    map_fields fields{
        node, "service", {"id", "slots_per_target", "connections_per_target", "classes"}, problems_};
    service_spec service;
    service.id = service_id{fields.id("id")};
    fields.set_label(item_label("service", service.id.value()));
    service.slots_per_target = fields.integer("slots_per_target", service.slots_per_target, slots_range);
    service.connections_per_target =
        fields.integer("connections_per_target", service.connections_per_target, slots_range);
    if (service.slots_per_target > service.connections_per_target) {
      fields.problem("slots_per_target",
                     fmt::format("is {}, above connections_per_target; accepted: at most {}, because an "
                                 "HTTP/1.1 connection carries one request at a time",
                                 service.slots_per_target, service.connections_per_target));
    }
    read_request_classes(fields, service);
    if (service_ids_.insert(service.id.value(), fields.line_of("id"))) {
      result_.document.services.push_back(std::move(service));
    }
  }

  void read_request_classes(map_fields& fields, service_spec& service) {
    unique_id_set ids{fmt::format("service \"{}\": class id", service.id.value()), problems_};
    for (const auto& item : fields.list("classes", true)) {
      const auto label = fmt::format("service \"{}\", class", service.id.value());
      map_fields entry{item, label, {"id", "deadline", "queue_limit", "non_idempotent"}, problems_};
      request_class_spec spec;
      spec.id = class_id{entry.id("id")};
      entry.set_label(
          fmt::format("service \"{}\", {}", service.id.value(), item_label("class", spec.id.value())));
      spec.rank = static_cast<int>(service.classes.size());
      spec.deadline = entry.time_span("deadline", shortest_deadline, longest_deadline);
      spec.queue_limit = entry.integer("queue_limit", spec.queue_limit, positive_range);
      spec.non_idempotent = entry.flag("non_idempotent", spec.non_idempotent);
      if (ids.insert(spec.id.value(), entry.line_of("id"))) {
        service.classes.push_back(std::move(spec));
      }
    }
    if (fields.has("classes") && fields.list("classes", false).empty()) {
      fields.problem("classes", "is empty; accepted: at least one class, the first served first");
    }
  }

  void read_job_class(const yaml_node& node) {
    map_fields fields{node, "job class", {"id", "finish_by"}, problems_};
    job_class_spec spec;
    spec.id = class_id{fields.id("id")};
    fields.set_label(item_label("job class", spec.id.value()));
    spec.rank = static_cast<int>(result_.document.job_classes.size());
    spec.finish_by = fields.time_of_day("finish_by");
    if (job_class_ids_.insert(spec.id.value(), fields.line_of("id"))) {
      result_.document.job_classes.push_back(std::move(spec));
    }
  }

  void read_budgets(map_fields& top) {
    const auto* node = top.find("budgets");
    if (node == nullptr) {
      return;
    }
    map_fields fields{*node,
                      "budgets",
                      {"set_aside", "migrations_per_hour", "preemptions_per_hour", "retries", "hedges"},
                      problems_};
    auto& budget = result_.document.budget;
    budget.set_aside_share = fields.percentage("set_aside", budget.set_aside_share);
    budget.migrations_per_hour =
        fields.integer("migrations_per_hour", budget.migrations_per_hour, hourly_range);
    budget.preemptions_per_hour =
        fields.integer("preemptions_per_hour", budget.preemptions_per_hour, hourly_range);
    budget.retry_share = fields.percentage("retries", budget.retry_share);
    budget.hedge_share = fields.percentage("hedges", budget.hedge_share);
  }

  void check_guarantees(map_fields& top) {
    if (guarantee_total_ > max_document_guarantees) {
      top.problem("teams",
                  fmt::format("have more guarantees than accepted: at most {}", max_document_guarantees));
      return;
    }
    detail::check_guarantee_sizes(result_.document, result_.lines, rack_sizes_, problems_);
  }

  void check_references() {
    std::vector<std::string_view> names;
    for (const auto& service : result_.document.services) {
      names.push_back(service.id.value());
    }
    for (const auto& reference : service_references_) {
      if (!service_ids_.has(reference.id)) {
        problems_.add(reference.line, fmt::format("{}: service \"{}\" is not defined; accepted: {}",
                                                  reference.source_label, reference.id,
                                                  names.empty() ? "a service of the list services"
                                                                : fmt::format("{}", fmt::join(names, ", "))));
      }
    }
  }

  parsed_document result_;
  problem_list problems_;
  rack_values defaults_;
  std::vector<detail::rack_size> rack_sizes_;
  std::vector<unresolved_reference> service_references_;
  int worker_total_{0};
  int guarantee_total_{0};
  unique_id_set region_ids_{"region id", problems_};
  unique_id_set domain_ids_{"failure domain id", problems_};
  unique_id_set rack_ids_{"rack id", problems_};
  unique_id_set worker_ids_{"worker id", problems_};
  unique_id_set addresses_{"worker address", problems_};
  unique_id_set team_ids_{"team id", problems_};
  unique_id_set service_ids_{"service id", problems_};
  unique_id_set job_class_ids_{"job class id", problems_};
};

}  // namespace

parsed_document parse_document(std::string_view text, std::string_view environment) {
  auto loaded = detail::load_yaml(text);
  if (auto* problem = std::get_if<document_problem>(&loaded)) {
    parsed_document failed;
    failed.document.environment = environment;
    failed.problems.push_back(std::move(*problem));
    return failed;
  }
  return document_builder{environment}.build(std::get<yaml_node>(loaded));
}

absl::StatusOr<environment_document> read_document(std::string_view text, std::string_view environment,
                                                   std::string_view source) {
  auto parsed = parse_document(text, environment);
  if (parsed.ok()) {
    return std::move(parsed.document);
  }
  std::vector<std::string> lines;
  for (const auto& problem : parsed.problems) {
    lines.push_back(format_problem(source, problem));
  }
  return absl::InvalidArgumentError(fmt::format("{}", fmt::join(lines, "\n")));
}

std::string format_problem(std::string_view source, const document_problem& problem) {
  return fmt::format("{}:{}: {}", source, problem.line, problem.message);
}

}  // namespace rhubarbpath
