#include "rhubarbpath/protocol/log_codec.hpp"

#include <utility>

#include "strict_json.hpp"

namespace rhubarbpath {
namespace {

using detail::array_reader;
using detail::json;
using detail::micros;
using detail::number;
using detail::strict_reader;

/// Maximum nesting depth. The deepest value is a member in a placement in a job in a list in a part.
constexpr int max_depth = 8;
/// Maximum items of one array. nlohmann throws if it cannot allocate the declared size.
constexpr std::size_t max_items = 1'000'000;

/// SAX handler that rejects input for which nlohmann's recursive CBOR parser would overflow the stack or
/// throw.
class cbor_prevalidator {
 public:
  static bool null() { return true; }
  static bool boolean(bool /*value*/) { return true; }
  static bool number_integer(json::number_integer_t /*value*/) { return true; }
  static bool number_unsigned(json::number_unsigned_t /*value*/) { return true; }
  static bool number_float(json::number_float_t /*value*/, const std::string& /*text*/) { return false; }
  static bool string(const std::string& /*value*/) { return true; }
  static bool binary(const json::binary_t& /*value*/) { return false; }
  static bool start_object(std::size_t /*size*/) { return false; }
  static bool key(const std::string& /*value*/) { return false; }
  static bool end_object() { return false; }
  bool start_array(std::size_t size) {
    ++depth_;
    return depth_ <= max_depth && size <= max_items;
  }
  bool end_array() {
    --depth_;
    return true;
  }
  static bool parse_error(std::size_t /*position*/, const std::string& /*token*/,
                          const json::exception& /*error*/) {
    return false;
  }

 private:
  int depth_{0};
};

absl::StatusOr<json> parse(std::string_view value) {
  cbor_prevalidator prevalidator;
  if (!json::sax_parse(value, &prevalidator, json::input_format_t::cbor, true)) {
    return absl::InvalidArgumentError("not a CBOR value of the log");
  }
  json parsed = json::from_cbor(value, true, false);
  if (!parsed.is_array()) {
    return absl::InvalidArgumentError("not a CBOR array");
  }
  return parsed;
}

std::string to_bytes(const json& value) {
  std::string bytes;
  json::to_cbor(value, bytes);
  return bytes;
}

json encode_spec(const job_spec& spec) {
  return json::array({spec.team.value(), spec.job_class.value(), spec.shape.accelerators_per_member,
                      spec.shape.members, static_cast<int>(spec.shape.within), spec.guaranteed,
                      spec.checkpointable, micros(spec.declared_run_time), spec.command});
}

/// Copies the first error of a nested reader to the outer one.
void propagate(const strict_reader& inner, strict_reader& outer) {
  if (!inner.ok()) {
    outer.fail(inner.status().message());
  }
}

void read_spec(array_reader& outer, job_spec& spec) {
  const json* item = outer.item();
  if (item == nullptr) {
    return;
  }
  array_reader reader{*item, 9};
  reader.next("team", spec.team)
      .next("class", spec.job_class)
      .next("accelerators per member", spec.shape.accelerators_per_member)
      .next("members", spec.shape.members)
      .next_enum("proximity", spec.shape.within, proximity::failure_domain)
      .next("guaranteed", spec.guaranteed)
      .next("checkpointable", spec.checkpointable)
      .next("run time", spec.declared_run_time)
      .next("command", spec.command);
  propagate(reader, outer);
}

/// Encodes workers and masks alternately, which saves one array header per member.
json encode_placement(const std::vector<member_placement>& placement) {
  json list = json::array();
  for (const auto& member : placement) {
    list.push_back(member.worker.value());
    list.push_back(member.accelerators);
  }
  return list;
}

void read_placement(array_reader& outer, std::vector<member_placement>& placement) {
  const json* item = outer.item();
  if (item == nullptr) {
    return;
  }
  if (!item->is_array() || item->size() % 2 != 0) {
    outer.fail("placement is not a list of pairs");
    return;
  }
  array_reader reader{*item, item->size()};
  for (std::size_t i = 0; i < item->size() / 2 && reader.ok(); ++i) {
    auto& member = placement.emplace_back();
    reader.next("worker", member.worker).next("accelerators", member.accelerators);
  }
  propagate(reader, outer);
}

/// The first item of an entry is its index in the `log_entry` variant, so the order of the alternatives is
/// part of the stored format.
struct entry_encoder {
  json operator()(const epoch_opened& entry) const {
    return json::array({0, number(entry.opened), entry.owner.value(), number(entry.owner_incarnation)});
  }
  json operator()(const job_accepted& entry) const {
    return json::array({1, entry.job.value(), encode_spec(entry.spec), micros(entry.at)});
  }
  json operator()(const job_placed& entry) const {
    return json::array(
        {2, entry.job.value(), number(entry.attempt), encode_placement(entry.placement), micros(entry.at)});
  }
  json operator()(const job_started& entry) const {
    return json::array({3, entry.job.value(), number(entry.attempt), micros(entry.at)});
  }
  json operator()(const job_requeued& entry) const {
    return json::array({4, entry.job.value(), number(entry.attempt), entry.preempted, entry.reason,
                        micros(entry.attained_service), micros(entry.at)});
  }
  json operator()(const job_ended& entry) const {
    return json::array({5, entry.job.value(), number(entry.attempt), static_cast<int>(entry.state),
                        entry.reason, micros(entry.at)});
  }
  json operator()(const worker_set_aside& entry) const {
    return json::array({6, entry.worker.value(), entry.reason, micros(entry.at)});
  }
  json operator()(const worker_restored& entry) const {
    return json::array({7, entry.worker.value(), micros(entry.at)});
  }
};

template <class Entry>
absl::StatusOr<log_entry> finish(const array_reader& reader, Entry entry) {
  if (!reader.ok()) {
    return reader.status();
  }
  return log_entry{std::move(entry)};
}

absl::StatusOr<log_entry> decode_epoch_opened(const json& item) {
  std::uint64_t type{0};
  epoch_opened entry;
  array_reader reader{item, 4};
  reader.next("type", type).next("epoch", entry.opened).next("owner", entry.owner);
  reader.next("incarnation", entry.owner_incarnation);
  return finish(reader, std::move(entry));
}

absl::StatusOr<log_entry> decode_accepted(const json& item) {
  std::uint64_t type{0};
  job_accepted entry;
  array_reader reader{item, 4};
  reader.next("type", type).next("job", entry.job);
  read_spec(reader, entry.spec);
  reader.next("time", entry.at);
  return finish(reader, std::move(entry));
}

absl::StatusOr<log_entry> decode_placed(const json& item) {
  std::uint64_t type{0};
  job_placed entry;
  array_reader reader{item, 5};
  reader.next("type", type).next("job", entry.job).next("attempt", entry.attempt);
  read_placement(reader, entry.placement);
  reader.next("time", entry.at);
  return finish(reader, std::move(entry));
}

absl::StatusOr<log_entry> decode_started(const json& item) {
  std::uint64_t type{0};
  job_started entry;
  array_reader reader{item, 4};
  reader.next("type", type).next("job", entry.job).next("attempt", entry.attempt).next("time", entry.at);
  return finish(reader, std::move(entry));
}

absl::StatusOr<log_entry> decode_requeued(const json& item) {
  std::uint64_t type{0};
  job_requeued entry;
  array_reader reader{item, 7};
  reader.next("type", type).next("job", entry.job).next("attempt", entry.attempt);
  reader.next("preempted", entry.preempted).next("reason", entry.reason);
  reader.next("attained service", entry.attained_service).next("time", entry.at);
  return finish(reader, std::move(entry));
}

absl::StatusOr<log_entry> decode_ended(const json& item) {
  std::uint64_t type{0};
  job_ended entry;
  array_reader reader{item, 6};
  reader.next("type", type).next("job", entry.job).next("attempt", entry.attempt);
  reader.next_enum("state", entry.state, job_state::refused);
  reader.next("reason", entry.reason).next("time", entry.at);
  if (reader.ok() && !is_final(entry.state)) {
    reader.fail("job_ended carries a state that is not final");
  }
  return finish(reader, std::move(entry));
}

absl::StatusOr<log_entry> decode_set_aside(const json& item) {
  std::uint64_t type{0};
  worker_set_aside entry;
  array_reader reader{item, 4};
  reader.next("type", type).next("worker", entry.worker).next("reason", entry.reason).next("time", entry.at);
  return finish(reader, std::move(entry));
}

absl::StatusOr<log_entry> decode_restored(const json& item) {
  std::uint64_t type{0};
  worker_restored entry;
  array_reader reader{item, 3};
  reader.next("type", type).next("worker", entry.worker).next("time", entry.at);
  return finish(reader, std::move(entry));
}

using entry_decoder = absl::StatusOr<log_entry> (*)(const json&);
constexpr entry_decoder entry_decoders[] = {decode_epoch_opened, decode_accepted, decode_placed,
                                            decode_started,      decode_requeued, decode_ended,
                                            decode_set_aside,    decode_restored};
static_assert(std::size(entry_decoders) == std::variant_size_v<log_entry>);

absl::StatusOr<log_entry> decode_entry(const json& item) {
  if (!item.is_array() || item.empty() || !item[0].is_number_unsigned()) {
    return absl::InvalidArgumentError("a log entry does not begin with its type");
  }
  const auto type = item[0].get<std::uint64_t>();
  if (type >= std::size(entry_decoders)) {
    return absl::InvalidArgumentError(absl::StrCat("unknown type of log entry ", type));
  }
  return entry_decoders[type](item);
}

/// Encodes a job, followed by the time at which it ended (zero if it has not ended).
json encode_job(const job_record& job, instant ended) {
  return json::array({job.id.value(), encode_spec(job.spec), static_cast<int>(job.state), number(job.attempt),
                      encode_placement(job.placement), micros(job.accepted_at), micros(job.attained_service),
                      job.preemptions, job.failures, job.reason, micros(ended)});
}

absl::Status decode_job(const json& item, domain_state& state) {
  job_record job;
  instant ended{};
  array_reader reader{item, 11};
  reader.next("job", job.id);
  read_spec(reader, job.spec);
  reader.next_enum("state", job.state, job_state::refused).next("attempt", job.attempt);
  read_placement(reader, job.placement);
  reader.next("acceptance", job.accepted_at).next("attained service", job.attained_service);
  reader.next("preemptions", job.preemptions).next("failures", job.failures);
  reader.next("reason", job.reason).next("end", ended);
  if (!reader.ok()) {
    return reader.status();
  }
  if (is_final(job.state)) {
    state.ended.emplace(job.id, ended);
  }
  const auto id = job.id;
  if (!state.jobs.emplace(id, std::move(job)).second) {
    return absl::InvalidArgumentError("a snapshot holds a job twice");
  }
  return absl::OkStatus();
}

absl::Status decode_set_aside_list(const json& list, domain_state& state) {
  for (const auto& item : list) {
    worker_id worker;
    std::string reason;
    array_reader reader{item, 2};
    reader.next("worker", worker).next("reason", reason);
    if (!reader.ok()) {
      return reader.status();
    }
    state.set_aside.emplace(std::move(worker), std::move(reason));
  }
  return absl::OkStatus();
}

/// Bytes of a part without its items: array headers, row number, part number, epoch and owner.
constexpr std::size_t part_overhead_bytes = 128;

json empty_part(const domain_snapshot& snapshot, std::size_t part_number) {
  const auto& state = snapshot.state;
  return json::array({number(snapshot.covers), part_number, number(state.current_epoch), state.owner.value(),
                      number(state.owner_incarnation), json::array(), json::array()});
}

constexpr std::size_t set_aside_index = 5;
constexpr std::size_t jobs_index = 6;

/// Splits the items of a snapshot into parts of bounded size.
class part_writer {
 public:
  part_writer(const domain_snapshot& snapshot, std::size_t max_bytes)
      : snapshot_{&snapshot},
        budget_{max_bytes - std::min(max_bytes, part_overhead_bytes + snapshot.state.owner.value().size())},
        // Brace initialization would wrap the array in another array.
        part_(empty_part(snapshot, 0)) {}

  [[nodiscard]] bool add(std::size_t list, json item) {
    const auto size = to_bytes(item).size();
    if (size > budget_) {
      return false;
    }
    if (used_ + size > budget_) {
      close();
    }
    used_ += size;
    part_[list].push_back(std::move(item));
    return true;
  }
  [[nodiscard]] std::vector<std::string> finish() {
    values_.push_back(to_bytes(part_));
    return std::move(values_);
  }

 private:
  void close() {
    values_.push_back(to_bytes(part_));
    part_ = empty_part(*snapshot_, values_.size());
    used_ = 0;
  }

  const domain_snapshot* snapshot_;
  std::size_t budget_;
  std::size_t used_{0};
  json part_;
  std::vector<std::string> values_;
};

absl::Status decode_part(const json& part, std::size_t expected_number, domain_snapshot& snapshot) {
  domain_snapshot header;
  std::uint64_t part_number{0};
  array_reader reader{part, 7};
  reader.next("covered row", header.covers)
      .next("part", part_number)
      .next("epoch", header.state.current_epoch)
      .next("owner", header.state.owner)
      .next("incarnation", header.state.owner_incarnation);
  const json* set_aside = reader.item();
  const json* jobs = reader.item();
  if (!reader.ok()) {
    return reader.status();
  }
  if (!set_aside->is_array() || !jobs->is_array() || part_number != expected_number) {
    return absl::InvalidArgumentError("not the expected part of a snapshot");
  }
  if (expected_number == 0) {
    snapshot = header;
  } else if (header.covers != snapshot.covers || header.state.current_epoch != snapshot.state.current_epoch) {
    return absl::InvalidArgumentError("parts of different snapshots");
  }
  if (auto status = decode_set_aside_list(*set_aside, snapshot.state); !status.ok()) {
    return status;
  }
  for (const auto& item : *jobs) {
    if (auto status = decode_job(item, snapshot.state); !status.ok()) {
      return status;
    }
  }
  return absl::OkStatus();
}

}  // namespace

std::string cbor_log_codec::encode_batch(std::span<const log_entry> entries) const {
  json batch = json::array();
  for (const auto& entry : entries) {
    batch.push_back(std::visit(entry_encoder{}, entry));
  }
  return to_bytes(batch);
}

absl::StatusOr<std::vector<log_entry>> cbor_log_codec::decode_batch(std::string_view value) const {
  const auto batch = parse(value);
  if (!batch.ok()) {
    return batch.status();
  }
  std::vector<log_entry> entries;
  for (const auto& item : *batch) {
    auto entry = decode_entry(item);
    if (!entry.ok()) {
      return entry.status();
    }
    entries.push_back(*std::move(entry));
  }
  return entries;
}

absl::StatusOr<std::vector<std::string>> cbor_log_codec::encode_snapshot(const domain_snapshot& snapshot,
                                                                         std::size_t max_bytes) const {
  part_writer writer{snapshot, max_bytes};
  for (const auto& [worker, reason] : snapshot.state.set_aside) {
    if (!writer.add(set_aside_index, json::array({worker.value(), reason}))) {
      return absl::ResourceExhaustedError(
          absl::StrCat("worker ", worker.value(), " exceeds a snapshot part"));
    }
  }
  for (const auto& [id, job] : snapshot.state.jobs) {
    const auto ended = snapshot.state.ended.find(id);
    const auto ended_at = ended == snapshot.state.ended.end() ? instant{} : ended->second;
    if (!writer.add(jobs_index, encode_job(job, ended_at))) {
      return absl::ResourceExhaustedError(absl::StrCat("job ", id.value(), " exceeds a snapshot part"));
    }
  }
  return writer.finish();
}

absl::StatusOr<domain_snapshot> cbor_log_codec::decode_snapshot(std::span<const std::string> parts) const {
  if (parts.empty()) {
    return absl::InvalidArgumentError("a snapshot has at least one part");
  }
  domain_snapshot snapshot;
  for (std::size_t i = 0; i < parts.size(); ++i) {
    const auto part = parse(parts[i]);
    if (!part.ok()) {
      return part.status();
    }
    if (auto status = decode_part(*part, i, snapshot); !status.ok()) {
      return status;
    }
  }
  return snapshot;
}

std::string cbor_log_codec::encode_head(const snapshot_head& head) const {
  return to_bytes(json::array({number(head.covers), head.parts}));
}

absl::StatusOr<snapshot_head> cbor_log_codec::decode_head(std::string_view value) const {
  const auto parsed = parse(value);
  if (!parsed.ok()) {
    return parsed.status();
  }
  snapshot_head head;
  array_reader reader{*parsed, 2};
  reader.next("covered row", head.covers).next("parts", head.parts);
  if (reader.ok() && head.parts <= 0) {
    reader.fail("a snapshot has at least one part");
  }
  if (!reader.ok()) {
    return reader.status();
  }
  return head;
}

}  // namespace rhubarbpath
