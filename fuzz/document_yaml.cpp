#include "rhubarbpath/protocol/document_yaml.hpp"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string_view>

#include "rhubarbpath/protocol/document_check.hpp"
#include "rhubarbpath/protocol/document_diff.hpp"

/// Looks for texts that crash the parser, and for documents that contradict its promises.
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using namespace rhubarbpath;
  const std::string_view text{reinterpret_cast<const char*>(data), size};
  const auto parsed = parse_document(text, "trial");
  const auto& document = parsed.document;
  if (parsed.lines.teams.size() != document.teams.size() ||
      parsed.lines.guarantees.size() != document.teams.size() ||
      parsed.lines.racks.size() != document.racks.size() ||
      document.workers.size() > static_cast<std::size_t>(max_document_workers)) {
    std::abort();
  }
  if (parsed.ok() && !diff_documents(document, document).empty()) {
    std::abort();
  }
  // The guarantee check packs each instance, so only small documents keep the fuzzer fast.
  if (parsed.ok() && document.workers.size() <= 64) {
    (void)check_document(parsed);
  }
  return 0;
}
