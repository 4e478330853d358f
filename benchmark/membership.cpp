// Cost of membership, documents and intents per entry VM, at several fleet sizes. The parts run in one
// process on logical time; messages pass through the codec and take a fixed time.

#include "rhubarbpath/coordination/membership.hpp"

#include <fmt/core.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "rhubarbpath/coordination/config_distributor.hpp"
#include "rhubarbpath/coordination/intent_registry.hpp"
#include "rhubarbpath/coordination/view_keeper.hpp"
#include "rhubarbpath/protocol/digest.hpp"
#include "rhubarbpath/protocol/peer_messages.hpp"

namespace {

using namespace rhubarbpath;

/// One way between failure domains, design section 1.2.
constexpr duration network_delay{500};
constexpr duration store_delay{3'000};
const std::string view_key = "/env/bench/view";
const std::string document_key = "/env/bench/document";

double milliseconds(duration value) {
  return static_cast<double>(value.count()) / 1000;
}

struct vm {
  explicit vm(std::uint64_t seed, const member_info& self)
      : info{self},
        random{seed},
        members{{.self = self}, random},
        views{{.self = self.id, .key = view_key}, random},
        config{{.self = self.id,
                .key = document_key,
                .decode_row = [](const store_row& row) { return std::optional{document_from_row(row)}; },
                .verify = digest_matches},
               random},
        intents{{.self = self}} {}

  member_info info;
  random_source random;
  membership members;
  view_keeper views;
  config_distributor config;
  intent_registry intents;
  bool up{true};
  std::size_t live{0};
  instant scheduled{};
};

struct totals {
  std::uint64_t messages{0};
  std::uint64_t bytes{0};
  std::uint64_t store_calls{0};
  std::uint64_t intent_messages{0};
  std::uint64_t intent_bytes{0};
  std::chrono::nanoseconds cpu{};

  totals operator-(const totals& other) const {
    return {messages - other.messages,         bytes - other.bytes,
            store_calls - other.store_calls,   intent_messages - other.intent_messages,
            intent_bytes - other.intent_bytes, cpu - other.cpu};
  }
};

class fleet {
 public:
  fleet(std::size_t count, std::uint64_t seed) {
    for (std::size_t index = 0; index < count; ++index) {
      const member_info info{
          .id = {vm_id{fmt::format("entry-{:04}", index)}, incarnation{1'764'825'600 + index}},
          .failure_domain = failure_domain_id{fmt::format("domain-{}", index % 9)},
          .address = fmt::format("10.0.{}.{}:7400", index / 250, index % 250)};
      index_[info.id.vm] = index;
      vms_.push_back(std::make_unique<vm>(seed + index, info));
      infos_.push_back(info);
    }
    write(view_key, encode_view(next_view({}, infos_)));
    for (std::size_t index = 0; index < count; ++index) {
      introduce(index);
    }
  }

  [[nodiscard]] vm& at(std::size_t index) { return *vms_[index]; }
  [[nodiscard]] instant now() const { return now_; }
  [[nodiscard]] const totals& cost() const { return cost_; }

  void run_until(const std::function<bool()>& done, duration limit) {
    const auto end = now_ + limit;
    while (!done()) {
      const bool message_first =
          !queue_.empty() && (timers_.empty() || queue_.begin()->first <= timers_.begin()->first);
      const auto next = message_first     ? queue_.begin()->first
                        : timers_.empty() ? end
                                          : timers_.begin()->first;
      if (next >= end) {
        now_ = end;
        return;
      }
      now_ = std::max(now_, next);
      if (message_first) {
        const auto action = std::move(queue_.begin()->second);
        queue_.erase(queue_.begin());
        action();
      } else {
        tick(timers_.begin()->second);
      }
    }
  }
  void run_for(duration length) {
    run_until([] { return false; }, length);
  }
  void crash(std::size_t index) {
    vms_[index]->up = false;
    timers_.erase({vms_[index]->scheduled, index});
  }
  void promote(std::string bytes) { write(document_key, std::move(bytes)); }
  [[nodiscard]] bool everywhere(const std::function<bool(const vm&)>& holds) const {
    return std::all_of(vms_.begin(), vms_.end(), [&](const auto& one) { return !one->up || holds(*one); });
  }
  void request(std::size_t index, request_id id, const std::string& key) {
    feed(index, intent_registry_event{intent_requested{.id = id,
                                                       .key = idempotency_key{key},
                                                       .first_attempt = false,
                                                       .deadline = now_ + duration{5'000'000}}});
  }
  std::map<request_id, instant> permitted;
  std::map<request_id, instant> answered;

 private:
  /// Gives the VM the whole list at once, so that the measurement starts from a settled fleet.
  void introduce(std::size_t index) {
    std::vector<peer::member_update> news;
    for (const auto& info : infos_) {
      news.push_back({.member = info, .round = 0, .state = peer::member_state::alive, .draining = false});
    }
    const auto& neighbour = news[(index + 1) % news.size()];
    for (std::size_t from = 0; from < news.size(); from += peer::max_news) {
      peer::heartbeat content;
      content.sender = neighbour;
      content.news.assign(
          news.begin() + static_cast<std::ptrdiff_t>(from),
          news.begin() + static_cast<std::ptrdiff_t>(std::min(news.size(), from + peer::max_news)));
      feed(index, membership_event{heartbeat_received{.from = neighbour.member.id.vm, .content = content}});
    }
  }

  void tick(std::size_t index) {
    feed(index, membership_event{membership_tick{}});
    feed(index, view_keeper_event{view_keeper_tick{}});
    feed(index, config_distributor_event{config_distributor_tick{}});
    feed(index, intent_registry_event{intent_registry_tick{}});
  }

  template <class Part, class Event, class Action>
  void run(std::size_t index, Part& part, const Event& event, std::vector<Action>& out) {
    const auto begin = std::chrono::steady_clock::now();
    part.handle(event, now_, out);
    cost_.cpu += std::chrono::steady_clock::now() - begin;
    auto& one = *vms_[index];
    timers_.erase({one.scheduled, index});
    one.scheduled = instant::max();
    for (const auto deadline : {one.members.next_deadline(), one.views.next_deadline(),
                                one.config.next_deadline(), one.intents.next_deadline()}) {
      one.scheduled = std::min(one.scheduled, deadline.value_or(instant::max()));
    }
    timers_.insert({one.scheduled, index});
  }
  void feed(std::size_t index, const membership_event& event) {
    std::vector<membership_action> out;
    run(index, vms_[index]->members, event, out);
    for (const auto& action : out) {
      if (const auto* const sent = std::get_if<send_heartbeat>(&action)) {
        send(index, sent->to, sent->content);
      } else if (const auto* const live = std::get_if<live_list_changed>(&action)) {
        vms_[index]->live = live->members.size();
        feed(index, view_keeper_event{*live});
        feed(index, intent_registry_event{*live});
      }
    }
  }
  void feed(std::size_t index, const view_keeper_event& event) {
    std::vector<view_keeper_action> out;
    run(index, vms_[index]->views, event, out);
    for (const auto& action : out) {
      if (const auto* const call = std::get_if<store_row_call>(&action)) {
        call_store(index, true, *call);
      } else if (const auto* const adopted = std::get_if<view_adopted>(&action)) {
        feed(index, intent_registry_event{*adopted});
        feed(index, config_distributor_event{*adopted});
        update_status(index);
      }
    }
  }
  void feed(std::size_t index, const config_distributor_event& event) {
    std::vector<config_distributor_action> out;
    run(index, vms_[index]->config, event, out);
    for (const auto& action : out) {
      if (const auto* const call = std::get_if<store_row_call>(&action)) {
        call_store(index, false, *call);
      } else if (const auto* const fetch = std::get_if<send_fetch>(&action)) {
        send(index, fetch->to, fetch->content);
      } else if (const auto* const document = std::get_if<send_document>(&action)) {
        send(index, document->to, document->content);
      } else if (std::holds_alternative<document_adopted>(action)) {
        update_status(index);
      }
    }
  }
  void feed(std::size_t index, const intent_registry_event& event) {
    std::vector<intent_registry_action> out;
    run(index, vms_[index]->intents, event, out);
    for (const auto& action : out) {
      if (const auto* const sent = std::get_if<send_intent_message>(&action)) {
        std::visit([&](const auto& message) { send(index, sent->to.id.vm, message); }, sent->message);
      } else if (const auto* const allowed = std::get_if<dispatch_permitted>(&action)) {
        permitted[allowed->id] = now_;
        queue_.emplace(now_ + duration{10'000}, [this, index, id = allowed->id] {
          peer::kept_answer answer;
          answer.result.result = verdict::ran;
          answer.status = 200;
          answer.body = std::string(200, 'x');
          feed(index, intent_registry_event{dispatch_ended{.id = id, .answer = answer}});
        });
      } else if (const auto* const reply = std::get_if<intent_answered>(&action)) {
        answered[reply->id] = now_;
      }
    }
  }
  void update_status(std::size_t index) {
    auto& one = *vms_[index];
    feed(index, membership_event{local_status{.view = one.views.current().number,
                                              .document = one.config.stamp(),
                                              .draining = false,
                                              .loads = {{service_id{"lendbook"}, 8, 0}}}});
  }

  void send(std::size_t from, const vm_id& to, const peer::message& message) {
    const auto begin = std::chrono::steady_clock::now();
    auto bytes = peer::encode(message);
    cost_.cpu += std::chrono::steady_clock::now() - begin;
    ++cost_.messages;
    cost_.bytes += bytes.size();
    if (!std::holds_alternative<peer::heartbeat>(message)) {
      ++cost_.intent_messages;
      cost_.intent_bytes += bytes.size();
    }
    queue_.emplace(now_ + network_delay, [this, from, target = index_.at(to), bytes = std::move(bytes)] {
      if (vms_[target]->up) {
        receive(target, vms_[from]->info.id, bytes);
      }
    });
  }
  void receive(std::size_t index, const member_id& from, const std::string& bytes) {
    const auto begin = std::chrono::steady_clock::now();
    const auto decoded = peer::decode(bytes);
    cost_.cpu += std::chrono::steady_clock::now() - begin;
    if (!decoded.ok()) {
      fmt::print(stderr, "a message did not decode: {}\n", std::string{decoded.status().message()});
      std::exit(1);
    }
    if (const auto* const heartbeat = std::get_if<peer::heartbeat>(&*decoded)) {
      feed(index, membership_event{heartbeat_received{.from = from.vm, .content = *heartbeat}});
      feed(index, view_keeper_event{view_number_received{.number = heartbeat->view}});
      feed(index,
           config_distributor_event{document_announced{.from = from.vm, .stamp = heartbeat->document}});
    } else if (const auto* const fetch = std::get_if<peer::fetch_document>(&*decoded)) {
      feed(index, config_distributor_event{fetch_received{.from = from.vm, .content = *fetch}});
    } else if (const auto* const document = std::get_if<peer::document>(&*decoded)) {
      feed(index, config_distributor_event{document_received{.from = from.vm, .content = *document}});
    } else {
      feed_intent(index, from, *decoded);
    }
  }
  void feed_intent(std::size_t index, const member_id& from, const peer::message& message) {
    std::visit(
        [&](const auto& content) {
          if constexpr (std::is_constructible_v<intent_message, decltype(content)>) {
            feed(index, intent_registry_event{intent_message_received{.from = from, .message = content}});
          }
        },
        message);
  }

  void write(const std::string& key, std::string value) {
    rows_[key] = {.key = key, .value = std::move(value), .at = revision{++last_revision_}, .written_by = {}};
    const auto open = std::move(watches_);
    watches_.clear();
    for (const auto& answer : open) {
      queue_.emplace(now_ + store_delay, answer);
    }
  }
  void call_store(std::size_t index, bool for_view, const store_row_call& call) {
    ++cost_.store_calls;
    queue_.emplace(now_ + store_delay, [this, index, for_view, call] {
      if (const auto* const watch = std::get_if<store_watch>(&call.request)) {
        const auto end = now_ + watch->wait;
        const auto found = rows_.find(watch->key);
        if (found == rows_.end() || found->second.at <= watch->after) {
          auto answer = [this, index, call, watch = *watch] { answer_watch(index, call.call, watch); };
          watches_.emplace_back(answer);
          queue_.emplace(end, answer);
          return;
        }
        answer_watch(index, call.call, *watch);
        return;
      }
      answer_store(index, for_view, {.call = call.call, .response = apply(call.request)});
    });
  }
  void answer_watch(std::size_t index, call_id call, const store_watch& watch) {
    const auto found = rows_.find(watch.key);
    store_response response = store_unchanged{};
    if (found != rows_.end() && found->second.at > watch.after) {
      response = store_rows{.rows = {found->second}, .more = false};
    }
    answer_store(index, false, {.call = call, .response = response});
  }
  void answer_store(std::size_t index, bool for_view, const store_row_answered& answer) {
    if (!vms_[index]->up) {
      return;
    }
    if (for_view) {
      feed(index, view_keeper_event{answer});
    } else {
      feed(index, config_distributor_event{answer});
    }
  }
  store_response apply(const store_request& request) {
    if (const auto* const put = std::get_if<store_put>(&request)) {
      if (rows_[put->key].at != put->expected) {
        return store_failure::conflict;
      }
      write(put->key, put->value);
      return store_written{.at = rows_[put->key].at};
    }
    const auto found = rows_.find(std::get<store_get>(request).key);
    return found == rows_.end() ? store_rows{} : store_rows{.rows = {found->second}, .more = false};
  }

  instant now_{duration{1'000'000'000}};
  std::vector<std::unique_ptr<vm>> vms_;
  std::vector<member_info> infos_;
  std::map<vm_id, std::size_t> index_;
  std::multimap<instant, std::function<void()>> queue_;
  std::set<std::pair<instant, std::size_t>> timers_;
  std::map<std::string, store_row> rows_;
  std::vector<std::function<void()>> watches_;
  std::uint64_t last_revision_{0};
  totals cost_;
};

void measure_steady(fleet& vms, std::size_t count, int seconds) {
  const auto before = vms.cost();
  vms.run_for(std::chrono::seconds{seconds});
  const auto used = vms.cost() - before;
  const auto share = 1.0 / static_cast<double>(count) / seconds;
  fmt::print(
      "{:>4} VMs  steady        {:.1f} messages/s, {:.0f} bytes/s, {:.4f}% of a core per VM; "
      "{:.2f} store calls/s in all\n",
      count, static_cast<double>(used.messages) * share, static_cast<double>(used.bytes) * share,
      static_cast<double>(used.cpu.count()) * share / 1e7, static_cast<double>(used.store_calls) / seconds);
}

void measure_document(fleet& vms, std::size_t count, std::size_t bytes) {
  const auto before = vms.cost();
  const auto old = vms.at(0).config.current().version;
  const auto start = vms.now();
  vms.promote(std::string(bytes, 'd') + std::to_string(start.time_since_epoch().count()));
  vms.run_until(
      [&] { return vms.everywhere([&](const vm& one) { return one.config.current().version > old; }); },
      std::chrono::seconds{60});
  const auto used = vms.cost() - before;
  fmt::print(
      "{:>4} VMs  document      in force everywhere after {:.1f} ms; {:.0f} bytes per VM, {} store calls\n",
      count, milliseconds(vms.now() - start), static_cast<double>(used.bytes) / static_cast<double>(count),
      used.store_calls);
}

void measure_crash(fleet& vms, std::size_t count) {
  const auto before = vms.cost();
  const auto view = vms.at(0).views.current().number;
  const auto start = vms.now();
  vms.crash(count / 2);
  const auto live = count - 1;
  vms.run_until([&] { return vms.everywhere([&](const vm& one) { return one.live == live; }); },
                std::chrono::seconds{60});
  const auto detected = vms.now() - start;
  vms.run_until(
      [&] { return vms.everywhere([&](const vm& one) { return one.views.current().number > view; }); },
      std::chrono::seconds{60});
  const auto used = vms.cost() - before;
  fmt::print(
      "{:>4} VMs  crash         seen by all after {:.0f} ms, new view everywhere after {:.0f} ms; "
      "{} store calls, {:.0f} bytes per VM\n",
      count, milliseconds(detected), milliseconds(vms.now() - start), used.store_calls,
      static_cast<double>(used.bytes) / static_cast<double>(count));
}

void measure_intents(fleet& vms, std::size_t count, std::size_t intents) {
  const auto alive = [&](std::size_t number) { return number % count == count / 2 ? 0 : number % count; };
  std::vector<duration> waits;
  const auto before = vms.cost();
  for (std::size_t number = 0; number < intents; ++number) {
    const request_id id{number + 1};
    const auto asked = vms.now();
    vms.request(alive(number), id, fmt::format("booking-{}", number));
    vms.run_for(duration{5'000});
    if (const auto found = vms.permitted.find(id); found != vms.permitted.end()) {
      waits.push_back(found->second - asked);
    }
  }
  vms.run_for(std::chrono::seconds{1});
  const auto used = vms.cost() - before;
  std::sort(waits.begin(), waits.end());
  if (waits.empty()) {
    fmt::print("{:>4} VMs  intents       none permitted\n", count);
    return;
  }
  fmt::print(
      "{:>4} VMs  intents       {} of {} permitted; added time median {:.2f} ms, highest {:.2f} ms; "
      "{:.1f} messages and {:.0f} bytes per intent\n",
      count, waits.size(), intents, milliseconds(waits[waits.size() / 2]), milliseconds(waits.back()),
      static_cast<double>(used.intent_messages) / static_cast<double>(intents),
      static_cast<double>(used.intent_bytes) / static_cast<double>(intents));
  const auto permitted = vms.permitted.size();
  std::size_t repeated = 0;
  for (std::size_t number = 0; number < intents; ++number) {
    const request_id id{intents + number + 1};
    vms.request(alive(number + 1), id, fmt::format("booking-{}", number));
    vms.run_for(duration{5'000});
    repeated += vms.answered.count(id);
  }
  fmt::print("{:>4} VMs  duplicates    {} of {} repeats answered within 5 ms, {} dispatched again\n", count,
             repeated, intents, vms.permitted.size() - permitted);
}

}  // namespace

int main(int argc, char** argv) {
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  try {
    TCLAP::CmdLine line{"Cost of membership, documents and intents per entry VM"};
    TCLAP::MultiArg<std::size_t> sizes{"n",   "vms",   "Fleet size; may be repeated (default 9, 90 and 900)",
                                       false, "count", line};
    TCLAP::ValueArg<int> seconds{"s",     "seconds", "Logical seconds of the steady part", false, 10,
                                 "count", line};
    TCLAP::ValueArg<std::size_t> bytes{"d", "document-bytes", "Size of the document", false, 100'000, "bytes",
                                       line};
    TCLAP::ValueArg<std::size_t> intents{"i",     "intents", "Non-idempotent requests", false, 500,
                                         "count", line};
    TCLAP::ValueArg<std::uint64_t> seed{"r", "seed", "Seed of the random source", false, 1, "number", line};
    line.parse(argc, argv);
    const auto counts = sizes.isSet() ? sizes.getValue() : std::vector<std::size_t>{9, 90, 900};
    for (const auto count : counts) {
      fleet vms{count, seed.getValue()};
      vms.run_for(std::chrono::seconds{15});
      measure_steady(vms, count, seconds.getValue());
      measure_document(vms, count, bytes.getValue());
      vms.run_for(std::chrono::seconds{5});
      measure_crash(vms, count);
      vms.run_for(std::chrono::seconds{5});
      measure_intents(vms, count, intents.getValue());
    }
  } catch (const TCLAP::ArgException& error) {
    fmt::print(stderr, "{}: {}\n", error.argId(), error.error());
    return 1;
  }
  return 0;
}
