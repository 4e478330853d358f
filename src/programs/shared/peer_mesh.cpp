#include "peer_mesh.hpp"

#include <utility>

#include "rhubarbpath/transport/log.hpp"

namespace rhubarbpath {

namespace {

constexpr duration redial_wait = std::chrono::milliseconds{200};
/// Messages that wait for a link to open. More are dropped; every protocol on the links repeats.
constexpr std::size_t max_waiting = 1000;

}  // namespace

peer_mesh::peer_mesh(event_loop& loop, member_info self, metrics& counters, callbacks calls)
    : loop_{loop},
      self_{std::move(self)},
      metrics_{counters},
      calls_{std::move(calls)},
      listener_{loop, self_.address, [this](int socket) {
                  const auto number = add({});
                  links_.at(number).link = peer_link::accept(loop_, socket, {}, callbacks_for(number));
                }} {}

absl::Status peer_mesh::listen() {
  return listener_.listen();
}

bool peer_mesh::send(const vm_id& to, const std::string& address, const peer::message& message) {
  const auto bytes = peer::encode(message);
  if (auto* open = open_link(to); open != nullptr) {
    return transmit(*open, bytes);
  }
  connect(to, address);
  for (auto& [number, state] : links_) {
    if (state.dialled == to && state.waiting.size() < max_waiting) {
      state.waiting.push_back(bytes);
      return true;
    }
  }
  return false;
}

bool peer_mesh::send_open(const vm_id& to, const peer::message& message) {
  auto* open = open_link(to);
  return open != nullptr && transmit(*open, peer::encode(message));
}

void peer_mesh::broadcast(const peer::message& message) {
  const auto bytes = peer::encode(message);
  for (auto& [number, state] : links_) {
    if (state.peer && state.link->open()) {
      transmit(state, bytes);
    }
  }
}

void peer_mesh::connect(const vm_id& to, const std::string& address) {
  if (to == self_.id.vm || address.empty() || open_link(to) != nullptr) {
    return;
  }
  for (const auto& [number, state] : links_) {
    if (state.dialled == to) {
      return;
    }
  }
  auto& earliest = not_before_[to];
  if (loop_.now() < earliest) {
    return;
  }
  earliest = loop_.now() + redial_wait;
  const auto number = add(to);
  links_.at(number).link = peer_link::connect(loop_, address, {}, callbacks_for(number));
}

peer_mesh::link_number peer_mesh::add(const vm_id& dialled) {
  const auto number = ++last_number_;
  links_[number].dialled = dialled;
  return number;
}

peer_link::callbacks peer_mesh::callbacks_for(link_number number) {
  return {.on_open = [this, number] { on_open(number); },
          .on_message = [this, number](const std::string& bytes) { on_bytes(number, bytes); },
          .on_closed = [this, number](const std::string& reason) { on_closed(number, reason); }};
}

void peer_mesh::on_open(link_number number) {
  auto& state = links_.at(number);
  transmit(state, peer::encode(peer::hello{.sender = self_}));
  for (const auto& bytes : std::exchange(state.waiting, {})) {
    transmit(state, bytes);
  }
}

void peer_mesh::on_bytes(link_number number, const std::string& bytes) {
  metrics_.add("rhubarb_peer_bytes_received_total", {}, bytes.size());
  const auto message = peer::decode(bytes);
  if (!message.ok()) {
    log(log_level::warning, "a peer sent a malformed message",
        {{"reason", std::string{message.status().message()}}});
    return;
  }
  if (const auto* hello = std::get_if<peer::hello>(&*message)) {
    on_hello(number, *hello);
    return;
  }
  const auto found = links_.find(number);
  if (found != links_.end() && found->second.peer) {
    const auto from = *found->second.peer;
    calls_.on_message(from, *message);
  }
}

void peer_mesh::on_hello(link_number number, const peer::hello& hello) {
  auto& state = links_.at(number);
  state.peer = hello.sender;
  not_before_.erase(hello.sender.id.vm);
}

void peer_mesh::on_closed(link_number number, const std::string& reason) {
  const auto found = links_.find(number);
  if (found == links_.end()) {
    return;
  }
  const auto state = std::move(found->second);
  links_.erase(found);
  if (!state.peer) {
    return;
  }
  const auto& vm = state.peer->id.vm;
  log(log_level::info, "a peer link closed", {{"peer", vm.value()}, {"reason", reason}});
  if (open_link(vm) == nullptr) {
    calls_.on_lost(vm);
  }
}

peer_mesh::link_state* peer_mesh::open_link(const vm_id& to) {
  // The newest link is used, since an older one may belong to an earlier incarnation.
  for (auto it = links_.rbegin(); it != links_.rend(); ++it) {
    auto& state = it->second;
    if (state.peer && state.peer->id.vm == to && state.link->open()) {
      return &state;
    }
  }
  return nullptr;
}

bool peer_mesh::transmit(link_state& state, const std::string& bytes) {
  metrics_.add("rhubarb_peer_bytes_sent_total", {}, bytes.size());
  metrics_.add("rhubarb_peer_messages_sent_total");
  return state.link->send(bytes);
}

}  // namespace rhubarbpath
