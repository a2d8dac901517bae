// The sub-commands, each in a file of its own: it adds itself to the command line and says what it does.
#pragma once

#include <CLI/CLI.hpp>
#include <string>

namespace yokestream::cli {

struct Files {  // where the settings lie, as most commands take them
  std::string config, operators;
};
// Adds --config (or RELAY_CONFIG) and --operator to a command.
void add_files(CLI::App& command, Files& files);

// Each sets `status` to the program's exit status when its command was given.
void add_serve(CLI::App& app, int& status);
void add_check_config(CLI::App& app, int& status);
void add_print_config(CLI::App& app, int& status);
void add_plan(CLI::App& app, int& status);   // hands on to yokestream_plan beside the program
void add_fleet(CLI::App& app, int& status);  // propose, status, halt, resume: what staff ask the owner for
void add_version(CLI::App& app, int& status);

}  // namespace yokestream::cli
