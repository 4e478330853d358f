#include "rhubarbpath/protocol/peer_messages.hpp"

#include <absl/status/status.h>

#include <array>
#include <limits>
#include <nlohmann/json.hpp>
#include <type_traits>
#include <utility>

#include "bounded_cbor.hpp"

namespace rhubarbpath::peer {

namespace {

using json = nlohmann::json;

/// Maximum nesting depth, checked before the parser recurses. The deepest message has 6 levels.
constexpr std::size_t max_depth = 10;
constexpr std::size_t max_id_bytes = 256;
constexpr std::size_t max_text_bytes = 4096;
constexpr std::size_t max_command_bytes = 65'536;
constexpr std::size_t max_loads = 256;
constexpr std::size_t max_leaving = 1024;
constexpr std::size_t max_placements = 1024;
/// Limits times to 126 years, so that the sum of two cannot overflow.
constexpr std::int64_t max_microseconds = 4'000'000'000'000'000;

/// In the order of the alternatives of `message`.
constexpr std::array<std::string_view, std::variant_size_v<message>> type_names{
    "hello",          "heartbeat",        "forward_request",
    "forward_answer", "pull_work",        "load",
    "record_intent",  "withdraw_intent",  "intent_answer",
    "finish_intent",  "transfer_intents", "fetch_document",
    "document",       "submit_job",       "query_job",
    "cancel_job",     "job_answer",       "owner_announcement"};

template <class Enum>
struct enum_names;
template <>
struct enum_names<member_state> {
  static constexpr std::array<std::string_view, 4> names{"alive", "suspect", "dead", "left"};
};
template <>
struct enum_names<intent_status> {
  static constexpr std::array<std::string_view, 9> names{"acknowledged", "in_progress", "finished",
                                                         "tainted",      "wrong_view",  "not_ready",
                                                         "full",         "withdrawn",   "kept"};
};
template <>
struct enum_names<intent_state> {
  static constexpr std::array<std::string_view, 3> names{"recorded", "finished", "withdrawn"};
};
template <>
struct enum_names<transfer_kind> {
  static constexpr std::array<std::string_view, 6> names{"request",  "entries", "retry",
                                                         "redirect", "unable",  "completed"};
};
template <>
struct enum_names<routing::forward_result> {
  static constexpr std::array<std::string_view, 3> names{"answered", "not_sent", "may_have_run"};
};
template <>
struct enum_names<verdict> {
  static constexpr std::array<std::string_view, 3> names{"ran", "not_run", "may_have_run"};
};
template <>
struct enum_names<proximity> {
  static constexpr std::array<std::string_view, 3> names{"worker", "rack", "failure_domain"};
};
template <>
struct enum_names<job_state> {
  static constexpr std::array<std::string_view, 8> names{"waiting",  "starting", "running",   "stopping",
                                                         "finished", "failed",   "cancelled", "refused"};
};

template <class T>
struct is_string_id : std::false_type {};
template <class Tag>
struct is_string_id<string_id<Tag>> : std::true_type {};
template <class T>
struct is_number_id : std::false_type {};
template <class Tag>
struct is_number_id<number_id<Tag>> : std::true_type {};

/// Maximum size of a text, byte string or list.
struct size_limit {
  std::size_t size;
};
/// Marks a byte string, as opposed to a text, and gives its maximum size.
struct binary {
  std::size_t size;
};

class writer {
 public:
  json object = json::object();

  template <class T>
  void operator()(const char* name, const T& value) {
    object[name] = convert(value);
  }
  template <class T>
  void operator()(const char* name, const T& value, size_limit) {
    object[name] = convert(value);
  }
  void operator()(const char* name, const std::string& value, binary) {
    object[name] = json::binary({value.begin(), value.end()});
  }

 private:
  template <class T>
  static json convert(const T& value) {
    if constexpr (is_string_id<T>::value || is_number_id<T>::value) {
      return value.value();
    } else if constexpr (std::is_enum_v<T>) {
      return enum_names<T>::names.at(static_cast<std::size_t>(value));
    } else if constexpr (std::is_same_v<T, duration>) {
      return value.count();
    } else if constexpr (std::is_same_v<T, instant>) {
      return value.time_since_epoch().count();
    } else if constexpr (std::is_arithmetic_v<T> || std::is_same_v<T, std::string>) {
      return value;
    } else {
      return convert_object(value);
    }
  }
  template <class T>
  static json convert(const std::vector<T>& values) {
    auto list = json::array();
    for (const auto& value : values) {
      list.push_back(convert(value));
    }
    return list;
  }
  template <class T>
  static json convert(const std::optional<T>& value) {
    return value ? convert(*value) : json(nullptr);
  }
  template <class T>
  static json convert_object(const T& value);
};

class reader {
 public:
  explicit reader(const json& object, absl::Status& status) : object_{object}, status_{status} {}

  template <class T>
  void operator()(const char* name, T& value) {
    (*this)(name, value, size_limit{max_id_bytes});
  }
  template <class T>
  void operator()(const char* name, T& value, size_limit bound) {
    if (const auto* const found = find(name)) {
      check(convert(*found, value, bound.size), name);
    }
  }
  void operator()(const char* name, std::string& value, binary bound) {
    const auto* const found = find(name);
    if (found == nullptr) {
      return;
    }
    const bool fits = found->is_binary() && found->get_binary().size() <= bound.size;
    check(fits, name);
    if (fits) {
      value.assign(found->get_binary().begin(), found->get_binary().end());
    }
  }

 private:
  const json* find(const char* name) {
    const auto found = object_.find(name);
    if (found == object_.end()) {
      fail("is missing", name);
      return nullptr;
    }
    return &*found;
  }
  void check(bool valid, const char* name) {
    if (!valid) {
      fail("has a wrong type or is out of bounds", name);
    }
  }
  void fail(const char* problem, const char* name) {
    if (status_.ok()) {
      status_ = absl::InvalidArgumentError("the field " + std::string{name} + " " + problem);
    }
  }

  template <class T>
  bool convert(const json& from, T& value, std::size_t bound) {
    if constexpr (is_string_id<T>::value) {
      std::string text;
      const bool valid = convert(from, text, bound);
      value = T{std::move(text)};
      return valid;
    } else if constexpr (is_number_id<T>::value) {
      std::uint64_t number = 0;
      const bool valid = convert(from, number, bound);
      value = T{number};
      return valid;
    } else if constexpr (std::is_enum_v<T>) {
      return convert_enum(from, value);
    } else if constexpr (std::is_same_v<T, duration> || std::is_same_v<T, instant>) {
      return convert_time(from, value);
    } else if constexpr (std::is_same_v<T, bool>) {
      return from.is_boolean() && (value = from.get<bool>(), true);
    } else if constexpr (std::is_arithmetic_v<T>) {
      return convert_number(from, value);
    } else {
      return convert_object(from, value);
    }
  }
  bool convert(const json& from, std::string& value, std::size_t bound) {
    if (!from.is_string() || from.get_ref<const std::string&>().size() > bound) {
      return false;
    }
    value = from.get<std::string>();
    return true;
  }
  template <class T>
  bool convert(const json& from, std::vector<T>& values, std::size_t bound) {
    if (!from.is_array() || from.size() > bound) {
      return false;
    }
    for (const auto& element : from) {
      if (!convert(element, values.emplace_back(), max_id_bytes)) {
        return false;
      }
    }
    return true;
  }
  template <class T>
  bool convert(const json& from, std::optional<T>& value, std::size_t bound) {
    return from.is_null() || convert(from, value.emplace(), bound);
  }
  template <class T>
  static bool convert_enum(const json& from, T& value) {
    const auto& names = enum_names<T>::names;
    for (std::size_t index = 0; from.is_string() && index < names.size(); ++index) {
      if (from.get_ref<const std::string&>() == names.at(index)) {
        value = static_cast<T>(index);
        return true;
      }
    }
    return false;
  }
  template <class T>
  static bool convert_number(const json& from, T& value) {
    // All numbers of the protocol are non-negative, including those stored in an int.
    if (!from.is_number_unsigned() ||
        from.get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<T>::max())) {
      return false;
    }
    value = from.get<T>();
    return true;
  }
  template <class T>
  static bool convert_time(const json& from, T& value) {
    if (!from.is_number_integer() ||
        (from.is_number_unsigned() && from.get<std::uint64_t>() > max_microseconds) ||
        from.get<std::int64_t>() < -max_microseconds) {
      return false;
    }
    value = T{duration{from.get<std::int64_t>()}};
    return true;
  }
  template <class T>
  bool convert_object(const json& from, T& value);

  const json& object_;
  absl::Status& status_;
};

// Each overload of `visit_fields` lists the fields of one type, for both reading and writing. `V` is const
// when writing.

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, member_id>
void visit_fields(Visitor& visit, V& value) {
  visit("vm", value.vm);
  visit("incarnation", value.incarnation);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, member_info>
void visit_fields(Visitor& visit, V& value) {
  visit("id", value.id);
  visit("failure_domain", value.failure_domain);
  visit("address", value.address);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, outcome>
void visit_fields(Visitor& visit, V& value) {
  visit("verdict", value.result);
  visit("reason", value.reason, size_limit{max_text_bytes});
  visit("retry_after", value.retry_after);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, service_load>
void visit_fields(Visitor& visit, V& value) {
  visit("service", value.service);
  visit("idle_slots", value.idle_slots);
  visit("queue_length", value.queue_length);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, document_stamp>
void visit_fields(Visitor& visit, V& value) {
  visit("version", value.version);
  visit("digest", value.digest);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, member_update>
void visit_fields(Visitor& visit, V& value) {
  visit("member", value.member);
  visit("round", value.round);
  visit("state", value.state);
  visit("draining", value.draining);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, dispatch_id>
void visit_fields(Visitor& visit, V& value) {
  visit("dispatcher", value.dispatcher);
  visit("sequence", value.sequence);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, kept_answer>
void visit_fields(Visitor& visit, V& value) {
  visit("result", value.result);
  visit("status", value.status);
  visit("body", value.body, binary{max_body_bytes});
  visit("body_dropped", value.body_dropped);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, intent_entry>
void visit_fields(Visitor& visit, V& value) {
  visit("key", value.key, size_limit{max_key_bytes});
  visit("dispatch", value.dispatch);
  visit("state", value.state);
  visit("remaining", value.remaining);
  visit("answer", value.answer);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, accelerator_shape>
void visit_fields(Visitor& visit, V& value) {
  visit("accelerators_per_member", value.accelerators_per_member);
  visit("members", value.members);
  visit("within", value.within);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, job_spec>
void visit_fields(Visitor& visit, V& value) {
  visit("team", value.team);
  visit("class", value.job_class);
  visit("shape", value.shape);
  visit("guaranteed", value.guaranteed);
  visit("checkpointable", value.checkpointable);
  visit("declared_run_time", value.declared_run_time);
  visit("command", value.command, size_limit{max_command_bytes});
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, member_placement>
void visit_fields(Visitor& visit, V& value) {
  visit("worker", value.worker);
  visit("accelerators", value.accelerators);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, job_record>
void visit_fields(Visitor& visit, V& value) {
  visit("id", value.id);
  visit("spec", value.spec);
  visit("state", value.state);
  visit("attempt", value.attempt);
  visit("placement", value.placement, size_limit{max_placements});
  visit("accepted_at", value.accepted_at);
  visit("attained_service", value.attained_service);
  visit("preemptions", value.preemptions);
  visit("failures", value.failures);
  visit("reason", value.reason, size_limit{max_text_bytes});
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, versioned_document>
void visit_fields(Visitor& visit, V& value) {
  visit("version", value.version);
  visit("digest", value.digest);
  visit("bytes", value.bytes, binary{max_body_bytes});
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, hello>
void visit_fields(Visitor& visit, V& value) {
  visit("sender", value.sender);
  visit("protocol_version", value.protocol_version);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, heartbeat>
void visit_fields(Visitor& visit, V& value) {
  visit("sender", value.sender);
  visit("view", value.view);
  visit("document", value.document);
  visit("live_digest", value.live_digest);
  visit("reply_wanted", value.reply_wanted);
  visit("loads", value.loads, size_limit{max_loads});
  visit("news", value.news, size_limit{max_news + 1});
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, routing::intent_ref>
void visit_fields(Visitor& visit, V& value) {
  visit("team", value.team);
  visit("service", value.service);
  visit("key", value.key, size_limit{max_key_bytes});
  visit("dispatcher", value.dispatcher);
  visit("dispatcher_incarnation", value.dispatcher_incarnation);
  visit("request", value.request);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, routing::rank_queue>
void visit_fields(Visitor& visit, V& value) {
  visit("rank", value.rank);
  visit("length", value.length);
  visit("short_teams", value.short_teams);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, routing::service_load>
void visit_fields(Visitor& visit, V& value) {
  visit("service", value.service);
  visit("idle_slots", value.idle_slots);
  visit("queues", value.queues, size_limit{max_loads});
  visit("set_aside", value.set_aside);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, routing::load_report>
void visit_fields(Visitor& visit, V& value) {
  visit("sequence", value.sequence);
  visit("draining", value.draining);
  visit("services", value.services, size_limit{max_loads});
  visit("leaving", value.leaving, size_limit{max_leaving});
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, forward_request>
void visit_fields(Visitor& visit, V& value) {
  visit("id", value.id);
  visit("to_incarnation", value.to_incarnation);
  visit("service", value.service);
  visit("class", value.request_class);
  visit("team", value.team);
  visit("non_idempotent", value.non_idempotent);
  visit("deadline", value.deadline);
  visit("body", value.body, binary{max_body_bytes});
  visit("traceparent", value.traceparent);
  visit("intent", value.intent);
  visit("avoid", value.avoid);
  visit("pulled", value.pulled);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, forward_answer>
void visit_fields(Visitor& visit, V& value) {
  visit("id", value.id);
  visit("to_incarnation", value.to_incarnation);
  visit("result", value.result);
  visit("status", value.status);
  visit("body", value.body, binary{max_body_bytes});
  visit("target", value.target);
  visit("reason", value.reason, size_limit{max_text_bytes});
  visit("load", value.load);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, pull_work>
void visit_fields(Visitor& visit, V& value) {
  visit("service", value.service);
  visit("count", value.count);
  visit("max_rank", value.max_rank);
  visit("short_teams_only", value.short_teams_only);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, load>
void visit_fields(Visitor& visit, V& value) {
  visit("report", value.report);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, record_intent>
void visit_fields(Visitor& visit, V& value) {
  visit("key", value.key, size_limit{max_key_bytes});
  visit("dispatch", value.dispatch);
  visit("view", value.view);
  visit("first_attempt", value.first_attempt);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, withdraw_intent>
void visit_fields(Visitor& visit, V& value) {
  visit("key", value.key, size_limit{max_key_bytes});
  visit("dispatch", value.dispatch);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, intent_answer>
void visit_fields(Visitor& visit, V& value) {
  visit("key", value.key, size_limit{max_key_bytes});
  visit("dispatch", value.dispatch);
  visit("status", value.status);
  visit("view", value.view);
  visit("holder", value.holder);
  visit("answer", value.answer);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, finish_intent>
void visit_fields(Visitor& visit, V& value) {
  visit("key", value.key, size_limit{max_key_bytes});
  visit("dispatch", value.dispatch);
  visit("answer", value.answer);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, transfer_intents>
void visit_fields(Visitor& visit, V& value) {
  visit("kind", value.kind);
  visit("range", value.range);
  visit("target", value.target);
  visit("source", value.source);
  visit("cursor", value.cursor, size_limit{max_key_bytes});
  visit("last", value.last);
  visit("taint", value.taint);
  visit("entries", value.entries, size_limit{max_transfer_entries});
  visit("redirect_view", value.redirect_view);
  visit("redirect_registrars", value.redirect_registrars, size_limit{2});
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, fetch_document>
void visit_fields(Visitor& visit, V& value) {
  visit("version", value.version);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, document>
void visit_fields(Visitor& visit, V& value) {
  visit("content", value.content);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, submit_job>
void visit_fields(Visitor& visit, V& value) {
  visit("id", value.id);
  visit("job", value.job);
  visit("failure_domain", value.failure_domain);
  visit("spec", value.spec);
  visit("traceparent", value.traceparent);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, query_job>
void visit_fields(Visitor& visit, V& value) {
  visit("id", value.id);
  visit("job", value.job);
  visit("failure_domain", value.failure_domain);
  visit("wait", value.wait);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, cancel_job>
void visit_fields(Visitor& visit, V& value) {
  visit("id", value.id);
  visit("job", value.job);
  visit("failure_domain", value.failure_domain);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, job_answer>
void visit_fields(Visitor& visit, V& value) {
  visit("id", value.id);
  visit("job", value.job);
  visit("result", value.result);
  visit("record", value.record);
}

template <class Visitor, class V>
requires std::is_same_v<std::remove_const_t<V>, owner_announcement>
void visit_fields(Visitor& visit, V& value) {
  visit("failure_domain", value.failure_domain);
  visit("epoch", value.owned);
  visit("address", value.address);
  visit("free_accelerators", value.free_accelerators);
  visit("waiting_jobs", value.waiting_jobs);
  visit("running_jobs", value.running_jobs);
  visit("workers_set_aside", value.workers_set_aside);
  visit("uncovered_guarantees", value.uncovered_guarantees);
}

template <class T>
json writer::convert_object(const T& value) {
  writer nested;
  visit_fields(nested, value);
  return std::move(nested.object);
}

template <class T>
bool reader::convert_object(const json& from, T& value) {
  if (!from.is_object()) {
    return false;
  }
  reader nested{from, status_};
  visit_fields(nested, value);
  return status_.ok();
}

template <std::size_t Index = 0>
absl::StatusOr<message> decode_type(std::string_view type, const json& object) {
  if constexpr (Index == std::variant_size_v<message>) {
    return absl::InvalidArgumentError("the message type " + std::string{type.substr(0, max_id_bytes)} +
                                      " is unknown");
  } else {
    if (type != type_names.at(Index)) {
      return decode_type<Index + 1>(type, object);
    }
    std::variant_alternative_t<Index, message> value;
    absl::Status status;
    reader field_reader{object, status};
    visit_fields(field_reader, value);
    if (!status.ok()) {
      return status;
    }
    return message{std::move(value)};
  }
}

}  // namespace

std::string_view type_name(const message& value) {
  return type_names.at(value.index());
}

std::string encode(const message& value) {
  writer output;
  output.object["type"] = type_name(value);
  std::visit([&](const auto& content) { visit_fields(output, content); }, value);
  std::string bytes;
  json::to_cbor(output.object, bytes);
  return bytes;
}

absl::StatusOr<message> decode(std::string_view bytes) {
  if (bytes.size() > max_message_bytes) {
    return absl::InvalidArgumentError("the message is larger than its bound");
  }
  const auto parsed = detail::parse_cbor(bytes, max_depth);
  if (!parsed) {
    return absl::InvalidArgumentError("the message is not valid CBOR or is nested too deeply");
  }
  const auto& object = *parsed;
  if (!object.is_object()) {
    return absl::InvalidArgumentError("the message is not a CBOR map");
  }
  const auto type = object.find("type");
  if (type == object.end() || !type->is_string()) {
    return absl::InvalidArgumentError("the message has no type");
  }
  auto decoded = decode_type(type->get_ref<const std::string&>(), object);
  if (decoded.ok()) {
    const auto* const transfer = std::get_if<transfer_intents>(&*decoded);
    if (transfer != nullptr && transfer->range >= key_range_count) {
      return absl::InvalidArgumentError("the field range has a wrong type or is out of bounds");
    }
  }
  return decoded;
}

}  // namespace rhubarbpath::peer
