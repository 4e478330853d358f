#include "rhubarbpath/coordination/intent_registry.hpp"

#include <utility>

#include "intent_dispatcher.hpp"
#include "intent_registrar.hpp"

namespace rhubarbpath {

namespace {

/// Tick interval while a request, a transfer or a delivery is in progress.
constexpr duration busy_interval{25'000};
/// Tick interval otherwise. A gap longer than `pause_threshold` indicates a pause.
constexpr duration idle_interval{250'000};

template <class... Handlers>
struct overloaded : Handlers... {
  using Handlers::operator()...;
};
// clang 14 does not deduce the template arguments of an aggregate.
template <class... Handlers>
overloaded(Handlers...) -> overloaded<Handlers...>;

}  // namespace

intent_registry::intent_registry(options opts)
    : options_{std::make_unique<const options>(std::move(opts))},
      registrar_{std::make_unique<detail::intent_registrar>(*options_)},
      dispatcher_{std::make_unique<detail::intent_dispatcher>(*options_)} {}

intent_registry::intent_registry(intent_registry&&) noexcept = default;
intent_registry& intent_registry::operator=(intent_registry&&) noexcept = default;
intent_registry::~intent_registry() = default;

void intent_registry::handle(const intent_registry_event& event, instant now,
                             std::vector<intent_registry_action>& out) {
  if (last_event_ != instant{} && now - last_event_ > options_->pause_threshold) {
    registrar_->fence(now + options_->pause_fence_duration);
  }
  last_event_ = now;
  const auto first = out.size();
  std::visit(overloaded{
                 [&](const intent_requested& value) { dispatcher_->request(value, now, out); },
                 [&](const dispatch_ended& value) { dispatcher_->end(value, now, out); },
                 [&](const intent_message_received& value) { receive(value, now, out); },
                 [&](const view_adopted& value) {
                   registrar_->adopt(value.adopted, now, out);
                   dispatcher_->adopt(value.adopted, now, out);
                 },
                 [&](const live_list_changed& value) {
                   registrar_->set_live(value.members, now);
                   dispatcher_->set_live(value.members);
                 },
                 [&](const vm_list_changed& value) { registrar_->set_vm_list(value.vms); },
                 [](const intent_registry_tick&) {},
             },
             event);
  if (now >= next_tick_) {
    registrar_->tick(now, out);
    dispatcher_->tick(now, out);
    next_tick_ = now + busy_interval;
  }
  deliver_to_self(first, now, out);
}

std::optional<instant> intent_registry::next_deadline() const {
  if (dispatcher_->busy() || registrar_->busy()) {
    return next_tick_;
  }
  return last_event_ + idle_interval;
}

void intent_registry::receive(const intent_message_received& event, instant now,
                              std::vector<intent_registry_action>& out) {
  if (const auto* const answer = std::get_if<peer::intent_answer>(&event.message)) {
    dispatcher_->on_answer(event.from, *answer, now, out);
  } else {
    registrar_->on_message(event.from, event.message, now, out);
  }
}

void intent_registry::deliver_to_self(std::size_t first, instant now,
                                      std::vector<intent_registry_action>& out) {
  for (std::size_t index = first; index < out.size();) {
    const auto* const sent = std::get_if<send_intent_message>(&out[index]);
    if (sent == nullptr || sent->to.id.vm != options_->self.id.vm) {
      ++index;
      continue;
    }
    const auto local = *sent;
    out.erase(out.begin() + static_cast<std::ptrdiff_t>(index));
    if (local.to.id == options_->self.id) {
      receive({.from = options_->self.id, .message = local.message}, now, out);
    }
  }
}

std::size_t intent_registry::untransferred_ranges() const {
  return registrar_->untransferred_ranges();
}
std::size_t intent_registry::intents() const {
  return registrar_->intents();
}
std::size_t intent_registry::owned_ranges() const {
  return registrar_->owned_ranges();
}
std::size_t intent_registry::ready_ranges() const {
  return registrar_->ready_ranges();
}

}  // namespace rhubarbpath
