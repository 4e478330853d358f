#include "rhubarbpath/transport/websocket_codec.hpp"

#include <utility>
#include <variant>
#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/server.hpp>

namespace rhubarbpath {

namespace {

using server_endpoint = websocketpp::server<websocketpp::config::core>;
using client_endpoint = websocketpp::client<websocketpp::config::core_client>;

/// Endpoint and connection for one role. The library uses unrelated types for client and server.
template <class Endpoint>
struct role_endpoint {
  Endpoint endpoint;
  typename Endpoint::connection_ptr connection;

  void configure(const websocket_codec::callbacks& calls, std::size_t max_message_bytes) {
    endpoint.clear_access_channels(websocketpp::log::alevel::all);
    endpoint.clear_error_channels(websocketpp::log::elevel::all);
    endpoint.set_max_message_size(max_message_bytes);
    endpoint.set_open_handler([&calls](const websocketpp::connection_hdl&) { calls.on_open(); });
    endpoint.set_close_handler([&calls](const websocketpp::connection_hdl&) { calls.on_closed(); });
    endpoint.set_fail_handler([&calls](const websocketpp::connection_hdl&) { calls.on_closed(); });
    endpoint.set_pong_handler(
        [&calls](const websocketpp::connection_hdl&, const std::string&) { calls.on_pong(); });
    endpoint.set_message_handler(
        [&calls](const websocketpp::connection_hdl&, typename Endpoint::message_ptr msg) {
          if (msg->get_opcode() == websocketpp::frame::opcode::binary) {
            calls.on_message(msg->get_payload());
          }
        });
  }

  void attach(const websocket_codec::callbacks& calls) {
    connection->set_write_handler(
        [&calls](const websocketpp::connection_hdl&, const char* bytes, std::size_t size) {
          calls.write(bytes, size);
          return websocketpp::lib::error_code{};
        });
  }
};

}  // namespace

struct websocket_codec::implementation {
  callbacks calls;
  std::variant<role_endpoint<client_endpoint>, role_endpoint<server_endpoint>> active_endpoint;

  implementation(role local_role, callbacks handlers, std::size_t max_message_bytes)
      : calls{std::move(handlers)} {
    if (local_role == role::server) {
      active_endpoint.emplace<role_endpoint<server_endpoint>>();
    }
    std::visit([&](auto& active) { active.configure(calls, max_message_bytes); }, active_endpoint);
  }
};

websocket_codec::websocket_codec(role local_role, callbacks calls, std::size_t max_message_bytes)
    : implementation_{std::make_unique<implementation>(local_role, std::move(calls), max_message_bytes)} {}

websocket_codec::~websocket_codec() {
  // The library's connection keeps itself alive while it waits for input; signalling the end of input
  // releases it. The callbacks are replaced first because their owner is being destroyed.
  implementation_->calls = {[] {}, [](const std::string&) {}, [] {}, [] {}, [](const char*, std::size_t) {}};
  std::visit(
      [](auto& active) {
        if (const auto connection = std::exchange(active.connection, nullptr)) {
          connection->eof();
        }
      },
      implementation_->active_endpoint);
}

void websocket_codec::start(const std::string& host_and_port) {
  auto& self = *implementation_;
  if (auto* client = std::get_if<role_endpoint<client_endpoint>>(&self.active_endpoint)) {
    websocketpp::lib::error_code error;
    client->connection = client->endpoint.get_connection("ws://" + host_and_port + "/peer", error);
    client->attach(self.calls);
    client->endpoint.connect(client->connection);
  }
  if (auto* server = std::get_if<role_endpoint<server_endpoint>>(&self.active_endpoint)) {
    server->connection = server->endpoint.get_connection();
    server->attach(self.calls);
    server->connection->start();
  }
}

void websocket_codec::feed(const char* bytes, std::size_t size) {
  std::visit(
      [&](auto& active) {
        // A local reference keeps the connection alive while its handlers run.
        const auto connection = active.connection;
        connection->read_all(bytes, size);
      },
      implementation_->active_endpoint);
}

bool websocket_codec::send(const std::string& message) {
  return std::visit(
      [&](auto& active) {
        return active.connection != nullptr &&
               !active.connection->send(message, websocketpp::frame::opcode::binary);
      },
      implementation_->active_endpoint);
}

void websocket_codec::ping() {
  std::visit(
      [](auto& active) {
        websocketpp::lib::error_code error;
        active.connection->ping("", error);
      },
      implementation_->active_endpoint);
}

void websocket_codec::close() {
  std::visit(
      [](auto& active) {
        websocketpp::lib::error_code error;
        active.connection->close(websocketpp::close::status::going_away, "", error);
      },
      implementation_->active_endpoint);
}

bool websocket_codec::open() const {
  return std::visit(
      [](const auto& active) {
        return active.connection != nullptr &&
               active.connection->get_state() == websocketpp::session::state::open;
      },
      implementation_->active_endpoint);
}

}  // namespace rhubarbpath
