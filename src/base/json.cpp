#include "base/json.h"

#include <memory>

namespace yokestream::base {

std::string write_json(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

std::optional<Json::Value> read_json(std::string_view text, std::size_t most, int deepest) try {
  if (text.size() > most) return std::nullopt;
  Json::CharReaderBuilder builder;
  builder["collectComments"] = false;
  builder["stackLimit"] = deepest;
  const std::unique_ptr<Json::CharReader> reader(builder.newCharReader());
  Json::Value value;
  std::string problems;
  if (!reader->parse(text.data(), text.data() + text.size(), &value, &problems)) return std::nullopt;
  return value;
} catch (const Json::Exception&) {  // too deep
  return std::nullopt;
}

}  // namespace yokestream::base
