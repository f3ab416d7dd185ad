#ifndef SKYLARKHILL_CLI_API_CLIENT_HPP
#define SKYLARKHILL_CLI_API_CLIENT_HPP

#include "skylarkhill/base/error.hpp"
#include "skylarkhill/base/json.hpp"
#include "skylarkhill/cli/command.hpp"
#include "skylarkhill/http/client.hpp"

#include <string>
#include <vector>

namespace skylarkhill::cli {

/// The address at which an entry instance serves the API.
struct EntryAddress
{
  std::string mIp;
  std::uint16_t mPort = 0;
};

/// Parses "IP:PORT". InvalidArgument if a part is missing or the port is not
/// from 1 to 65535.
base::Result<EntryAddress>
ParseEntryAddress(const std::string& aText);

/// Adds the options --entry, --timeout-ms and --output.
void
AddClientOptions(boost::program_options::options_description& aOptions);

/// Sends the request to the entry instance given by --entry and waits for the
/// response. OutcomeUnknown if the connection is lost or --timeout-ms elapses.
base::Result<http::Response>
CallEntry(const boost::program_options::variables_map& aOptions,
          const http::ClientRequest& aRequest);

/// As above, for the entry instance at `aAddress`.
base::Result<http::Response>
CallEntry(const EntryAddress& aAddress,
          const http::ClientRequest& aRequest,
          std::int64_t aTimeoutMs);

/// Adds the content of the file given by --credential-file, if there is one, as
/// the operator credential. InvalidArgument if the file cannot be read.
base::Result<void>
AddCredential(const boost::program_options::variables_map& aOptions,
              http::ClientRequest& aRequest);

/// Prints the response as JSON or as "name: value" lines, or the error. Returns
/// Success if the status is 2xx, else Failure.
ExitCode
PrintResponse(const boost::program_options::variables_map& aOptions,
              const base::Result<http::Response>& aResponse);

/// Prints an error and returns Failure.
ExitCode
PrintError(const boost::program_options::variables_map& aOptions,
           const base::Error& aError);

/// Reads a whole file. InvalidArgument if it cannot be opened.
base::Result<std::string>
ReadFile(const std::string& aPath);

} // namespace skylarkhill::cli

#endif // SKYLARKHILL_CLI_API_CLIENT_HPP
