#include "base/json.h"

#include <memory>

namespace yokestream::base {

std::string write_json(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

std::optional<Json::Value> read_json(std::string_view text, std::size_t max_bytes, int max_depth) try {
  if (text.size() > max_bytes) return std::nullopt;
  Json::CharReaderBuilder builder;
  builder["collectComments"] = false;
  builder["stackLimit"] = max_depth;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string errors;
  if (!reader->parse(text.data(), text.data() + text.size(), &value, &errors)) return std::nullopt;
  return value;
} catch (const Json::Exception&) {  // thrown when the text is nested too deeply
  return std::nullopt;
}

}  // namespace yokestream::base
