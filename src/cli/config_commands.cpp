// check-config, print-config, plan and version: what needs no server.
#include <fmt/format.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <iostream>
#include <memory>

#include "cli/commands.h"
#include "operator/operator_file.h"

#ifndef YOKESTREAM_VERSION
#error "the build names the version"
#endif

namespace yokestream::cli {

void add_check_config(CLI::App& app, int& status) {
  auto* command = app.add_subcommand("check-config", "Read and check the configuration, then exit");
  const auto files = std::make_shared<Files>();
  add_files(*command, *files);
  command->callback([files, &status] {
    const auto both = operator_file::read_both(files->config, files->operators);
    std::cout << both.config.name << ": good; listens on " << to_string(both.config.listen)
              << "; the door is " << (both.config.door.on ? "on" : "off") << std::endl;
    status = 0;
  });
}

void add_print_config(CLI::App& app, int& status) {
  auto* command = app.add_subcommand("print-config", "Print the operator's values and where each came from");
  const auto files = std::make_shared<Files>();
  add_files(*command, *files);
  command->callback([files, &status] {
    const auto both = operator_file::read_both(files->config, files->operators);
    for (const auto& value : both.operators.values)
      std::cout << fmt::format("{:<32} {:<12} {}\n", value.path, value.text, value.origin);
    std::cout.flush();
    status = 0;
  });
}

// The solver lies in a program of its own; this one becomes that one.
void add_plan(CLI::App& app, int& status) {
  auto* command = app.add_subcommand("plan", "Propose the teams' budgets for a deadline hour (plan --help)");
  command->prefix_command();
  command->set_help_flag();
  command->callback([command, &status] {
    const auto program = std::filesystem::read_symlink("/proc/self/exe").parent_path() / "yokestream_plan";
    std::vector<std::string> words = command->remaining();
    words.insert(words.begin(), "yokestream plan");
    std::vector<char*> argv;
    for (std::string& word : words) argv.push_back(word.data());
    argv.push_back(nullptr);
    execv(program.c_str(), argv.data());
    std::cerr << "yokestream plan: " << program.string() << ": " << std::strerror(errno) << std::endl;
    status = 1;
  });
}

void add_version(CLI::App& app, int& status) {
  app.add_subcommand("version", "Print the version")->callback([&status] {
    std::cout << "yokestream " << YOKESTREAM_VERSION << std::endl;
    status = 0;
  });
}

}  // namespace yokestream::cli
