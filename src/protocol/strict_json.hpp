#pragma once

#include <cstddef>
#include <cstdint>
#include <limits>
#include <nlohmann/json.hpp>
#include <string>

#include "absl/status/status.h"
#include "absl/strings/escaping.h"
#include "absl/strings/str_cat.h"
#include "absl/strings/string_view.h"
#include "rhubarbpath/state/ids.hpp"
#include "rhubarbpath/state/units.hpp"

namespace rhubarbpath::detail {

using json = nlohmann::json;

/// Converts JSON values to typed values and records the first error.
class strict_reader {
 public:
  [[nodiscard]] bool ok() const noexcept { return status_.ok(); }
  [[nodiscard]] const absl::Status& status() const noexcept { return status_; }
  void fail(absl::string_view what) {
    if (status_.ok()) {
      status_ = absl::InvalidArgumentError(what);
    }
  }

 protected:
  void read(const json& value, absl::string_view name, std::string& out) {
    if (value.is_string()) {
      out = value.get_ref<const std::string&>();
    } else {
      fail(absl::StrCat(name, " is not a text"));
    }
  }
  void read(const json& value, absl::string_view name, bool& out) {
    if (value.is_boolean()) {
      out = value.get<bool>();
    } else {
      fail(absl::StrCat(name, " is not a truth value"));
    }
  }
  void read(const json& value, absl::string_view name, std::uint64_t& out) {
    // nlohmann stores every parsed non-negative integer as unsigned.
    if (value.is_number_unsigned()) {
      out = value.get<std::uint64_t>();
    } else {
      fail(absl::StrCat(name, " is not a non-negative integer"));
    }
  }
  void read(const json& value, absl::string_view name, std::int64_t& out) {
    const bool too_large =
        value.is_number_unsigned() &&
        value.get<std::uint64_t>() > static_cast<std::uint64_t>(std::numeric_limits<std::int64_t>::max());
    if (value.is_number_integer() && !too_large) {
      out = value.get<std::int64_t>();
    } else {
      fail(absl::StrCat(name, " is not a 64-bit integer"));
    }
  }
  void read(const json& value, absl::string_view name, int& out) {
    std::int64_t wide{0};
    read(value, name, wide);
    if (wide < std::numeric_limits<int>::min() || wide > std::numeric_limits<int>::max()) {
      fail(absl::StrCat(name, " is out of range"));
      return;
    }
    out = static_cast<int>(wide);
  }
  void read(const json& value, absl::string_view name, std::uint32_t& out) {
    std::uint64_t wide{0};
    read(value, name, wide);
    if (wide > std::numeric_limits<std::uint32_t>::max()) {
      fail(absl::StrCat(name, " is out of range"));
      return;
    }
    out = static_cast<std::uint32_t>(wide);
  }
  void read(const json& value, absl::string_view name, duration& out) {
    std::int64_t count{0};
    read(value, name, count);
    out = duration{count};
  }
  void read(const json& value, absl::string_view name, instant& out) {
    duration since_epoch{};
    read(value, name, since_epoch);
    out = instant{since_epoch};
  }
  template <class Tag>
  void read(const json& value, absl::string_view name, string_id<Tag>& out) {
    std::string text;
    read(value, name, text);
    out = string_id<Tag>{std::move(text)};
  }
  template <class Tag>
  void read(const json& value, absl::string_view name, number_id<Tag>& out) {
    std::uint64_t number{0};
    read(value, name, number);
    out = number_id<Tag>{number};
  }

 private:
  absl::Status status_;
};

/// Reads the fields of a JSON object by name. `finish` fails if the object has fields that were not read.
class object_reader : public strict_reader {
 public:
  explicit object_reader(const json& object) : object_{&object} {
    if (!object.is_object()) {
      fail("not a JSON object");
    }
  }
  template <class T>
  void field(const char* name, T& out) {
    if (const json* value = find(name)) {
      read(*value, name, out);
    }
  }
  void base64_field(const char* name, std::string& out) {
    std::string text;
    field(name, text);
    if (ok() && !absl::Base64Unescape(text, &out)) {
      fail(absl::StrCat(name, " is not base64"));
    }
  }
  [[nodiscard]] const json* find(const char* name) {
    if (!ok()) {
      return nullptr;
    }
    const auto found = object_->find(name);
    if (found == object_->end()) {
      fail(absl::StrCat(name, " is missing"));
      return nullptr;
    }
    ++fields_;
    return &*found;
  }
  [[nodiscard]] const json* array(const char* name) {
    const json* value = find(name);
    if (value != nullptr && !value->is_array()) {
      fail(absl::StrCat(name, " is not an array"));
      return nullptr;
    }
    return value;
  }
  [[nodiscard]] absl::Status finish() {
    if (ok() && fields_ != object_->size()) {
      fail("the object has unknown fields");
    }
    return status();
  }

 private:
  const json* object_;
  std::size_t fields_{0};
};

/// Reads the items of an array of fixed size in order.
class array_reader : public strict_reader {
 public:
  array_reader(const json& array, std::size_t size) : array_{&array} {
    if (!array.is_array() || array.size() != size) {
      fail(absl::StrCat("not an array of ", size, " items"));
    }
  }
  template <class T>
  array_reader& next(absl::string_view name, T& out) {
    if (const json* value = item()) {
      read(*value, name, out);
    }
    return *this;
  }
  /// Reads an enumerator stored as its number, from zero to `last`.
  template <class Enum>
  array_reader& next_enum(absl::string_view name, Enum& out, Enum last) {
    std::uint64_t number{0};
    next(name, number);
    if (number > static_cast<std::uint64_t>(last)) {
      fail(absl::StrCat(name, " is an unknown enumerator"));
      return *this;
    }
    out = static_cast<Enum>(number);
    return *this;
  }
  [[nodiscard]] const json* item() { return ok() ? &(*array_)[position_++] : nullptr; }

 private:
  const json* array_;
  std::size_t position_{0};
};

/// Serializes to JSON. Invalid UTF-8 is replaced, because nlohmann would throw.
[[nodiscard]] inline std::string to_text(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

template <class Tag>
[[nodiscard]] std::uint64_t number(const number_id<Tag>& id) {
  return id.value();
}
[[nodiscard]] inline std::int64_t micros(duration interval) {
  return interval.count();
}
[[nodiscard]] inline std::int64_t micros(instant at) {
  return at.time_since_epoch().count();
}

}  // namespace rhubarbpath::detail
