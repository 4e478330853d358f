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

/// Endpoint and connection of one role; the two roles have unrelated types in the library.
template <class Endpoint>
struct side {
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
  std::variant<side<client_endpoint>, side<server_endpoint>> sides;

  implementation(role which, callbacks given, std::size_t max_message_bytes) : calls{std::move(given)} {
    if (which == role::server) {
      sides.emplace<side<server_endpoint>>();
    }
    std::visit([&](auto& chosen) { chosen.configure(calls, max_message_bytes); }, sides);
  }
};

websocket_codec::websocket_codec(role which, callbacks calls, std::size_t max_message_bytes)
    : implementation_{std::make_unique<implementation>(which, std::move(calls), max_message_bytes)} {}

websocket_codec::~websocket_codec() {
  // The library's connection keeps itself alive while it waits for input; the end of input releases it.
  // Nothing may be called back any more by then.
  implementation_->calls = {[] {}, [](const std::string&) {}, [] {}, [] {}, [](const char*, std::size_t) {}};
  std::visit(
      [](auto& chosen) {
        if (const auto connection = std::exchange(chosen.connection, nullptr)) {
          connection->eof();
        }
      },
      implementation_->sides);
}

void websocket_codec::start(const std::string& host_and_port) {
  auto& self = *implementation_;
  if (auto* client = std::get_if<side<client_endpoint>>(&self.sides)) {
    websocketpp::lib::error_code error;
    client->connection = client->endpoint.get_connection("ws://" + host_and_port + "/peer", error);
    client->attach(self.calls);
    client->endpoint.connect(client->connection);
  }
  if (auto* server = std::get_if<side<server_endpoint>>(&self.sides)) {
    server->connection = server->endpoint.get_connection();
    server->attach(self.calls);
    server->connection->start();
  }
}

void websocket_codec::feed(const char* bytes, std::size_t size) {
  std::visit(
      [&](auto& chosen) {
        // A local copy keeps the connection alive while its own handlers run.
        const auto connection = chosen.connection;
        connection->read_all(bytes, size);
      },
      implementation_->sides);
}

bool websocket_codec::send(const std::string& message) {
  return std::visit(
      [&](auto& chosen) {
        return chosen.connection != nullptr &&
               !chosen.connection->send(message, websocketpp::frame::opcode::binary);
      },
      implementation_->sides);
}

void websocket_codec::ping() {
  std::visit(
      [](auto& chosen) {
        websocketpp::lib::error_code error;
        chosen.connection->ping("", error);
      },
      implementation_->sides);
}

void websocket_codec::close() {
  std::visit(
      [](auto& chosen) {
        websocketpp::lib::error_code error;
        chosen.connection->close(websocketpp::close::status::going_away, "", error);
      },
      implementation_->sides);
}

bool websocket_codec::open() const {
  return std::visit(
      [](const auto& chosen) {
        return chosen.connection != nullptr &&
               chosen.connection->get_state() == websocketpp::session::state::open;
      },
      implementation_->sides);
}

}  // namespace rhubarbpath
