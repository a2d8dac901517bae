// The command line: one function a sub-command, each in src/cli.
#include <iostream>

#include "cli/commands.h"

int main(int argc, char** argv) {
  using namespace yokestream;
  CLI::App app("yokestream, a workload manager for pools of query engines");
  app.require_subcommand(1);
  int status = 0;
  cli::add_serve(app, status);
  cli::add_check_config(app, status);
  cli::add_print_config(app, status);
  cli::add_plan(app, status);
  cli::add_fleet(app, status);
  cli::add_version(app, status);
  try {
    CLI11_PARSE(app, argc, argv);
  } catch (const std::exception& problem) {
    std::cerr << "yokestream: " << problem.what() << std::endl;
    return 1;
  }
  return status;
}
