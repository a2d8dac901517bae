#include "protocol/management_call.h"

#include <algorithm>
#include <array>
#include <utility>

namespace yokestream::protocol {
namespace {

constexpr std::array<std::pair<std::string_view, ManagementWord>, 4> kWords = {
    {{"readyz", ManagementWord::readyz},
     {"telemetry", ManagementWord::telemetry},
     {"evacuate", ManagementWord::evacuate},
     {"activate", ManagementWord::activate}}};

std::string_view without_blanks(std::string_view line) {
  constexpr std::string_view kBlanks = " \t\r";
  const auto from = line.find_first_not_of(kBlanks);
  if (from == std::string_view::npos) return {};
  return line.substr(from, line.find_last_not_of(kBlanks) - from + 1);
}

}  // namespace

void ManagementReader::feed(std::string_view bytes) {
  if (whole_ || line_.size() > kLongest) return;
  const auto end = bytes.find('\n');
  whole_ = end != std::string_view::npos;
  line_.append(bytes.substr(0, std::min(end, kLongest + 1)));
}

void ManagementReader::end() { whole_ = whole_ || !line_.empty(); }

std::optional<ManagementCall> ManagementReader::call() const {
  if (line_.size() > kLongest) return BadManagementCall{"the line is too long"};
  if (!whole_) return std::nullopt;
  const auto word = without_blanks(line_);
  const auto it = std::find_if(kWords.begin(), kWords.end(), [&](const auto& w) { return w.first == word; });
  if (it == kWords.end()) return BadManagementCall{word.empty() ? "an empty line" : "an unknown call"};
  return it->second;
}

std::string encode_success(std::string_view body) { return "SUCCESS\n" + std::string(body); }

std::string encode_failure(std::string_view reason) { return "FAILURE " + std::string(reason) + "\n"; }

}  // namespace yokestream::protocol
