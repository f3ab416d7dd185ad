#include "skylarkhill/cli/command.hpp"

#include <easylogging++.h>

#include <exception>
#include <iostream>
#include <string>
#include <vector>

INITIALIZE_EASYLOGGINGPP

int
main(int aCount, char** aArguments)
{
  try {
    const std::vector<std::string> arguments(aArguments + 1,
                                             aArguments + aCount);
    return static_cast<int>(skylarkhill::cli::RunCommandLine(arguments));
  } catch (const std::exception& e) {
    std::cerr << "skylarkhill: " << e.what() << "\n";
    return static_cast<int>(skylarkhill::cli::ExitCode::Failure);
  }
}
