#include "operator/operator_file.h"

#include <algorithm>

#include "operator/section.h"

extern "C" {
#include <libjsonnet.h>
}

namespace yokestream::operator_file {
using config::ConfigError;

Operator decode(const std::string& json, const config::Config& platform) {
  const Json::Value root = config::parse_json("operator file", json);
  if (!root.isObject()) throw ConfigError("operator file", "not an object");
  Operator out;
  Section top(root, "", out.values);
  Section log(top.at("log"), "log", out.values);
  out.log.level = log.word("level", out.log.level, {"debug", "info", "warn", "error"});
  out.log.format = log.word("format", out.log.format, {"text", "json"});
  out.log.lines_per_kind = static_cast<int>(
      log.count("lines_per_kind", static_cast<std::size_t>(out.log.lines_per_kind), 1, 1000));
  log.done();
  out.door = read_door(top.at("door"), platform, out.values);
  out.queues = read_queues(top.at("queues"), platform, out.values);
  out.fleet = read_fleet(top.at("fleet"), out.values);
  top.done();
  return out;
}

Operator defaults(const config::Config& platform) { return decode("{}", platform); }

std::string evaluate(const std::string& path) {
  struct Close {
    void operator()(JsonnetVm* vm) const { jsonnet_destroy(vm); }
  };
  const std::unique_ptr<JsonnetVm, Close> vm(jsonnet_make());
  jsonnet_max_stack(vm.get(), 200);
  int failed = 0;
  char* const raw = jsonnet_evaluate_file(vm.get(), path.c_str(), &failed);
  std::string text = raw ? raw : "";
  if (raw) jsonnet_realloc(vm.get(), raw, 0);
  if (failed) {
    std::replace(text.begin(), text.end(), '\n', ' ');
    throw ConfigError(path, text);
  }
  return text;
}

Operator read(const std::string& path, const config::Config& platform) {
  return decode(evaluate(path), platform);
}

Effective read_both(const std::string& platform_path, const std::string& operator_path) {
  Effective out{config::read_config(platform_path), {}};
  out.operators = operator_path.empty() ? defaults(out.config) : read(operator_path, out.config);
  out.config.door = out.operators.door;
  out.config.queues = out.operators.queues;
  out.config.fleet = out.operators.fleet;
  out.config.real.quote_method = out.config.queues.enabled && out.config.queues.quote_method;
  return out;
}

}  // namespace yokestream::operator_file
