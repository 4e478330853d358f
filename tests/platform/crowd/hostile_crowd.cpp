#include "hostile_crowd.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string_view>
#include <thread>
#include <utility>

namespace rhubarbpath::soak {

namespace {

constexpr std::size_t bytes_per_step = 256U << 10U;

sockaddr_in socket_address(const std::string& address, std::uint16_t port) {
  sockaddr_in result{};
  result.sin_family = AF_INET;
  result.sin_port = htons(port);
  inet_pton(AF_INET, address.c_str(), &result.sin_addr);
  return result;
}

}  // namespace

hostile_crowd::hostile_crowd(const std::string& address, hostile_load load)
    : address_{address}, load_{std::move(load)}, clients_(load_.clients) {
  for (auto& each : clients_) {
    connect(each);
  }
}

hostile_crowd::~hostile_crowd() {
  for (const auto& each : clients_) {
    if (each.socket >= 0) {
      close(each.socket);
    }
  }
}

void hostile_crowd::connect(client& target) {
  const auto server = socket_address(address_, load_.port);
  target.socket = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  ++target.connections;
  target.sent_on_connection = 0;
  if (::connect(target.socket, reinterpret_cast<const sockaddr*>(&server), sizeof(server)) != 0 &&
      errno != EINPROGRESS) {
    close(std::exchange(target.socket, -1));
  }
}

std::size_t hostile_crowd::send_some(client& target) {
  std::size_t sent = 0;
  while (sent < bytes_per_step && target.sent < load_.bytes_per_client) {
    std::string_view next = load_.opening;
    auto offset = target.sent_on_connection;
    if (offset >= next.size()) {
      if (load_.repeated.empty()) {
        target.sent = load_.bytes_per_client;
        break;
      }
      offset = (offset - next.size()) % load_.repeated.size();
      next = load_.repeated;
    }
    const auto count = std::min(next.size() - offset, load_.bytes_per_client - target.sent);
    const auto taken = send(target.socket, next.data() + offset, count, MSG_NOSIGNAL | MSG_DONTWAIT);
    if (taken < 0 && errno != EAGAIN) {
      close(std::exchange(target.socket, -1));
    }
    if (taken <= 0) {
      break;
    }
    sent += static_cast<std::size_t>(taken);
    target.sent += static_cast<std::size_t>(taken);
    target.sent_on_connection += static_cast<std::size_t>(taken);
  }
  return sent;
}

std::size_t hostile_crowd::step() {
  std::size_t sent = 0;
  for (auto& each : clients_) {
    if (each.socket < 0 && each.connections < load_.connections_per_client &&
        each.sent < load_.bytes_per_client) {
      connect(each);
    }
    if (each.socket >= 0) {
      sent += send_some(each);
    }
  }
  return sent;
}

bool hostile_crowd::finished() const {
  return std::all_of(clients_.begin(), clients_.end(), [this](const client& each) {
    return each.sent >= load_.bytes_per_client ||
           (each.socket < 0 && each.connections >= load_.connections_per_client);
  });
}

std::string read_slowly(const std::string& address, std::uint16_t port, const std::string& request) {
  constexpr int receive_buffer = 4096;
  constexpr std::size_t piece = 4096;
  constexpr std::chrono::milliseconds pause{5};
  const auto server = socket_address(address, port);
  const int reader = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt(reader, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof(receive_buffer));
  std::string answer;
  if (::connect(reader, reinterpret_cast<const sockaddr*>(&server), sizeof(server)) == 0 &&
      send(reader, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size())) {
    std::string next(piece, '\0');
    for (ssize_t count = 1; count > 0;) {
      std::this_thread::sleep_for(pause);
      count = recv(reader, next.data(), next.size(), 0);
      answer.append(next, 0, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    }
  }
  close(reader);
  return answer;
}

std::string send_whole(const std::string& address, std::uint16_t port, const std::string& head,
                       const std::string& body) {
  const auto server = socket_address(address, port);
  const int client = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const timeval patience{.tv_sec = 5, .tv_usec = 0};
  setsockopt(client, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
  setsockopt(client, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof(patience));
  std::string answer;
  if (::connect(client, reinterpret_cast<const sockaddr*>(&server), sizeof(server)) == 0) {
    const auto request = head + body;
    for (std::size_t sent = 0; sent < request.size();) {
      const auto taken = send(client, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
      if (taken <= 0) {
        break;
      }
      sent += static_cast<std::size_t>(taken);
    }
    constexpr std::size_t piece = 4096;
    std::string next(piece, '\0');
    for (ssize_t count = 1; count > 0;) {
      count = recv(client, next.data(), next.size(), 0);
      answer.append(next, 0, static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
    }
  }
  close(client);
  return answer;
}

process_memory memory_of(pid_t process) {
  process_memory memory;
  std::ifstream file{fmt::format("/proc/{}/status", process)};
  std::string name;
  std::string line;
  while (file >> name) {
    constexpr std::uint64_t kilobyte = 1024;
    std::uint64_t value = 0;
    if (name == "VmRSS:" && file >> value) {
      memory.resident = value * kilobyte;
    } else if (name == "VmHWM:" && file >> value) {
      memory.highest = value * kilobyte;
    }
    std::getline(file, line);
  }
  return memory;
}

std::size_t open_descriptors(pid_t process) {
  std::error_code error;
  const std::filesystem::directory_iterator entries{fmt::format("/proc/{}/fd", process), error};
  return error
             ? 0
             : static_cast<std::size_t>(std::distance(begin(entries), std::filesystem::directory_iterator{}));
}

std::uint64_t unread_bytes(const std::string& address) {
  in_addr number{};
  inet_pton(AF_INET, address.c_str(), &number);
  const auto local_prefix = fmt::format("{:08X}:", number.s_addr);
  std::uint64_t total = 0;
  std::ifstream file{"/proc/net/tcp"};
  std::string line;
  while (std::getline(file, line)) {
    std::istringstream fields{line};
    std::string slot;
    std::string local;
    std::string remote;
    std::string state;
    std::string queues;
    fields >> slot >> local >> remote >> state >> queues;
    constexpr std::string_view listening = "0A";
    const auto colon = queues.find(':');
    if (local.starts_with(local_prefix) && state != listening && colon != std::string::npos) {
      constexpr int hexadecimal = 16;
      total += std::stoull(queues.substr(colon + 1), nullptr, hexadecimal);
    }
  }
  return total;
}

}  // namespace rhubarbpath::soak
