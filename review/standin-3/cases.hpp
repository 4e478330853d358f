#pragma once

#include <filesystem>

namespace rhubarbpath::review {

enum class verdict { held = 0, broken = 1, cannot_run = 2 };

/// Each case plays its disruption if `trouble` is set, and does the same without it otherwise.
verdict adviser_moves(const std::filesystem::path& record, bool trouble);
verdict gang_with_advice(const std::filesystem::path& record, bool trouble);
verdict kind_changes(const std::filesystem::path& record, bool trouble);
verdict lasting_after_flap(const std::filesystem::path& record, bool trouble);
verdict too_many_away(const std::filesystem::path& record, bool trouble);

}  // namespace rhubarbpath::review
