#ifndef SKYLARKHILL_CLI_API_CLIENT_HPP
#define SKYLARKHILL_CLI_API_CLIENT_HPP

#include "skylarkhill/base/error.hpp"
#include "skylarkhill/base/json.hpp"
#include "skylarkhill/cli/command.hpp"
#include "skylarkhill/http/client.hpp"

#include <string>
#include <vector>

namespace skylarkhill::cli {

/// Where an entry instance listens.
struct EntryAddress
{
  std::string mHost;
  std::uint16_t mPort = 0;
};

/// Parses "IP:PORT". InvalidArgument.
base::Result<EntryAddress>
ParseEntryAddress(const std::string& aText);

/// Adds --entry, --timeout-ms and --output.
void
AddClientOptions(boost::program_options::options_description& aOptions);

/// Calls the entry instance that --entry names.
base::Result<http::Response>
CallEntry(const boost::program_options::variables_map& aOptions,
          const http::ClientRequest& aRequest);

/// Calls one entry instance.
base::Result<http::Response>
CallEntry(const EntryAddress& aAddress,
          const http::ClientRequest& aRequest,
          std::int64_t aTimeoutMs);

/// Reads the file named --credential-file and adds its content as the operator
/// credential. InvalidArgument.
base::Result<void>
AddCredential(const boost::program_options::variables_map& aOptions,
              http::ClientRequest& aRequest);

/// Prints the response, as JSON or as "name: value" lines, and returns Failure
/// unless its status is 2xx.
ExitCode
PrintResponse(const boost::program_options::variables_map& aOptions,
              const base::Result<http::Response>& aResponse);

/// Prints an error and returns Failure.
ExitCode
PrintError(const boost::program_options::variables_map& aOptions,
           const base::Error& aError);

/// Reads a whole file. InvalidArgument.
base::Result<std::string>
ReadFile(const std::string& aPath);

} // namespace skylarkhill::cli

#endif // SKYLARKHILL_CLI_API_CLIENT_HPP
