#include "statement/table_group.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <string>

namespace yokestream::statement {
namespace {

bool is_name_character(char c) { return std::isalnum(static_cast<unsigned char>(c)) || c == '_' || c == '$'; }

// Splits a statement into words and single punctuation marks. Comments are skipped. A string or a quoted name
// yields its opening quote only, so that the words before and after it are not taken as adjacent.
class Tokenizer {
 public:
  explicit Tokenizer(std::string_view sql) : rest_(sql) {}

  // Returns an empty token at the end of the statement.
  std::string_view next() {
    while (!rest_.empty()) {
      const char c = rest_[0];
      if (std::isspace(static_cast<unsigned char>(c))) {
        rest_.remove_prefix(1);
      } else if (starts_with("--")) {
        skip_past("\n", 2);
      } else if (starts_with("/*")) {
        skip_comment();
      } else if (c == '\'' || c == '"' || c == '`') {
        return skip_quoted(c);
      } else if (c == '$') {
        return skip_dollar_quoted();
      } else {
        return take(is_name_character(c) ? name_length() : 1);
      }
    }
    return {};
  }

 private:
  bool starts_with(std::string_view text) const { return rest_.substr(0, text.size()) == text; }
  std::string_view take(std::size_t length) {
    const auto token = rest_.substr(0, length);
    rest_.remove_prefix(token.size());
    return token;
  }
  std::size_t name_length() const {
    return static_cast<std::size_t>(std::find_if_not(rest_.begin(), rest_.end(), is_name_character) -
                                    rest_.begin());
  }
  void skip_past(std::string_view end, std::size_t search_from) {
    const auto at = rest_.find(end, search_from);
    rest_.remove_prefix(at == std::string_view::npos ? rest_.size() : at + end.size());
  }
  void skip_comment() {  // block comments may be nested
    std::size_t depth = 0;
    do {
      if (starts_with("/*")) {
        ++depth, rest_.remove_prefix(2);
      } else if (starts_with("*/")) {
        --depth, rest_.remove_prefix(2);
      } else {
        rest_.remove_prefix(1);
      }
    } while (depth > 0 && !rest_.empty());
  }
  // A doubled quote inside a quoted text is an escaped quote. It is read as two quoted texts in a row, which
  // skips the same characters.
  std::string_view skip_quoted(char quote) {
    const auto opening_quote = rest_.substr(0, 1);
    skip_past(std::string_view(&quote, 1), 1);
    return opening_quote;
  }
  std::string_view skip_dollar_quoted() {  // $tag$ ... $tag$
    const auto dollar = rest_.substr(0, 1);
    std::size_t length = 1;
    while (length < rest_.size() && is_name_character(rest_[length]) && rest_[length] != '$') ++length;
    if (length < rest_.size() && rest_[length] == '$') {
      const std::string tag(rest_.substr(0, length + 1));
      skip_past(tag, tag.size());
    } else {
      rest_.remove_prefix(1);
    }
    return dollar;
  }
  std::string_view rest_;
};

bool precedes_table_name(std::string_view word) {
  constexpr std::array<std::string_view, 5> keywords{"from", "join", "into", "update", "table"};
  return std::any_of(keywords.begin(), keywords.end(), [&](std::string_view keyword) {
    return keyword.size() == word.size() &&
           std::equal(keyword.begin(), keyword.end(), word.begin(),
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
  Tokenizer tokens(sql);
  std::optional<std::uint64_t> first_elsewhere;
  std::string_view previous, token = tokens.next();
  while (!token.empty()) {
    const auto next = tokens.next();
    if (next == "." && previous != ".") {
      if (const auto group = number_after_underscore(token)) {
        if (precedes_table_name(previous)) return group;
        if (!first_elsewhere) first_elsewhere = group;
      }
    }
    previous = token;
    token = next;
  }
  return first_elsewhere;
}

}  // namespace yokestream::statement
