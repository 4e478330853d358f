#include "bounded_cbor.hpp"

#include <limits>
#include <string>
#include <utility>
#include <vector>

namespace rhubarbpath::detail {

namespace {

using json = nlohmann::json;

/// SAX handler that builds a value and stops at input that is nested too deeply, because the parser is
/// recursive.
class bounded_builder final : public nlohmann::json_sax<json> {
 public:
  bounded_builder(std::size_t input_size, std::size_t max_depth)
      : input_size_{input_size}, max_depth_{max_depth} {}

  bool null() override { return add(nullptr); }
  bool boolean(bool value) override { return add(value); }
  bool number_integer(json::number_integer_t value) override { return add(value); }
  bool number_unsigned(json::number_unsigned_t value) override { return add(value); }
  bool number_float(json::number_float_t value, const json::string_t&) override { return add(value); }
  bool string(json::string_t& value) override { return add(std::move(value)); }
  bool binary(json::binary_t& value) override { return add(json::binary(std::move(value))); }
  bool start_object(std::size_t size) override { return open(json::object(), size); }
  bool start_array(std::size_t size) override { return open(json::array(), size); }
  bool end_object() override { return close(); }
  bool end_array() override { return close(); }
  bool key(json::string_t& value) override {
    key_ = std::move(value);
    return true;
  }
  bool parse_error(std::size_t, const std::string&, const nlohmann::detail::exception&) override {
    return false;
  }

  [[nodiscard]] json& result() noexcept { return root_; }

 private:
  bool open(json container, std::size_t size) {
    const bool definite_length = size != std::numeric_limits<std::size_t>::max();
    if (open_.size() >= max_depth_ || (definite_length && size > input_size_)) {
      return false;
    }
    open_.push_back(insert(std::move(container)));
    return true;
  }
  bool close() {
    open_.pop_back();
    return true;
  }
  bool add(json value) {
    insert(std::move(value));
    return true;
  }
  json* insert(json value) {
    if (open_.empty()) {
      root_ = std::move(value);
      return &root_;
    }
    auto& parent = *open_.back();
    if (parent.is_array()) {
      parent.push_back(std::move(value));
      return &parent.back();
    }
    return &(parent[key_] = std::move(value));
  }

  std::size_t input_size_;
  std::size_t max_depth_;
  json root_;
  std::vector<json*> open_;
  std::string key_;
};

}  // namespace

std::optional<json> parse_cbor(std::string_view bytes, std::size_t max_depth) {
  bounded_builder builder{bytes.size(), max_depth};
  if (!json::sax_parse(bytes.begin(), bytes.end(), &builder, json::input_format_t::cbor)) {
    return std::nullopt;
  }
  return std::move(builder.result());
}

}  // namespace rhubarbpath::detail
