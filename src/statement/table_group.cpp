#include "statement/table_group.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <string>

namespace yokestream::statement {
namespace {

bool is_name(char c) { return std::isalnum(static_cast<unsigned char>(c)) || c == '_' || c == '$'; }

// Yields the words and single marks of a statement, without its strings, quoted names and comments.
class Words {
 public:
  explicit Words(std::string_view sql) : rest_(sql) {}

  // Empty at the end. Skipped text counts as a mark of its own, so that nothing joins across it.
  std::string_view next() {
    while (!rest_.empty()) {
      const char c = rest_[0];
      if (std::isspace(static_cast<unsigned char>(c))) {
        rest_.remove_prefix(1);
      } else if (starts("--")) {
        skip_past("\n", 2);
      } else if (starts("/*")) {
        skip_comment();
      } else if (c == '\'' || c == '"' || c == '`') {
        return skip_quoted(c);
      } else if (c == '$') {
        return skip_dollar_quoted();
      } else {
        return take(is_name(c) ? name_length() : 1);
      }
    }
    return {};
  }

 private:
  bool starts(std::string_view text) const { return rest_.substr(0, text.size()) == text; }
  std::string_view take(std::size_t length) {
    const auto word = rest_.substr(0, length);
    rest_.remove_prefix(word.size());
    return word;
  }
  std::size_t name_length() const {
    return static_cast<std::size_t>(std::find_if_not(rest_.begin(), rest_.end(), is_name) - rest_.begin());
  }
  void skip_past(std::string_view end, std::size_t from) {
    const auto at = rest_.find(end, from);
    rest_.remove_prefix(at == std::string_view::npos ? rest_.size() : at + end.size());
  }
  void skip_comment() {  // comments nest in SQL
    std::size_t depth = 0;
    do {
      if (starts("/*")) {
        ++depth, rest_.remove_prefix(2);
      } else if (starts("*/")) {
        --depth, rest_.remove_prefix(2);
      } else {
        rest_.remove_prefix(1);
      }
    } while (depth > 0 && !rest_.empty());
  }
  std::string_view skip_quoted(char quote) {  // a doubled quote stands for itself: two quoted texts in a row
    const auto mark = rest_.substr(0, 1);
    skip_past(std::string_view(&quote, 1), 1);
    return mark;
  }
  std::string_view skip_dollar_quoted() {  // $tag$ ... $tag$
    const auto mark = rest_.substr(0, 1);
    std::size_t length = 1;
    while (length < rest_.size() && is_name(rest_[length]) && rest_[length] != '$') ++length;
    if (length < rest_.size() && rest_[length] == '$') {
      const std::string tag(rest_.substr(0, length + 1));
      skip_past(tag, tag.size());
    } else {
      rest_.remove_prefix(1);
    }
    return mark;
  }
  std::string_view rest_;
};

bool leads_to_table(std::string_view word) {
  constexpr std::array<std::string_view, 5> leads{"from", "join", "into", "update", "table"};
  return std::any_of(leads.begin(), leads.end(), [&](std::string_view lead) {
    return lead.size() == word.size() &&
           std::equal(lead.begin(), lead.end(), word.begin(),
                      [](char a, char b) { return a == std::tolower(static_cast<unsigned char>(b)); });
  });
}

std::optional<std::uint64_t> number_after_underscore(std::string_view name) {
  const auto at = name.rfind('_');
  if (at == std::string_view::npos || at == 0 || at + 1 == name.size()) return std::nullopt;
  std::uint64_t n = 0;
  const auto [end, error] = std::from_chars(name.data() + at + 1, name.data() + name.size(), n);
  if (error != std::errc() || end != name.data() + name.size()) return std::nullopt;
  return n;
}

}  // namespace

std::optional<std::uint64_t> table_group(std::string_view sql) {
  Words words(sql);
  std::optional<std::uint64_t> anywhere;
  std::string_view before, word = words.next();
  while (!word.empty()) {
    const auto after = words.next();
    if (after == "." && before != ".") {
      if (const auto group = number_after_underscore(word)) {
        if (leads_to_table(before)) return group;
        if (!anywhere) anywhere = group;
      }
    }
    before = word;
    word = after;
  }
  return anywhere;
}

}  // namespace yokestream::statement
