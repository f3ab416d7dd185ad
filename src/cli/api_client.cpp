#include "skylarkhill/cli/api_client.hpp"

#include "skylarkhill/base/clock.hpp"
#include "skylarkhill/http/error_body.hpp"

#include <charconv>
#include <fstream>
#include <iostream>
#include <iterator>

namespace skylarkhill::cli {

using base::ErrorKind;
using base::MakeError;

namespace {

namespace po = boost::program_options;

constexpr std::int64_t kDefaultTimeoutMs = 15'000;

bool
IsJsonOutput(const po::variables_map& aOptions)
{
  return aOptions.count("output") != 0 &&
         aOptions["output"].as<std::string>() == "json";
}

void
PrintFields(const base::JsonValue& aValue)
{
  for (const auto& it : aValue) {
    if (it.category() == base::JsonValue::Value) {
      std::string text;
      it.getValue(text);
      std::cout << it.name() << ": " << text << "\n";
    } else {
      std::cout << it.name() << ": " << base::FormatJson(it) << "\n";
    }
  }
}

} // namespace

base::Result<EntryAddress>
ParseEntryAddress(const std::string& aText)
{
  const std::size_t colon = aText.rfind(':');
  EntryAddress address;
  if (colon != std::string::npos) {
    address.mIp = aText.substr(0, colon);
    const char* end = aText.data() + aText.size();
    const auto parsed =
      std::from_chars(aText.data() + colon + 1, end, address.mPort);
    if (parsed.ptr == end && address.mPort != 0 && !address.mIp.empty()) {
      return address;
    }
  }
  return MakeError(ErrorKind::InvalidArgument,
                   "'" + aText + "' is not of the form IP:PORT");
}

void
AddClientOptions(po::options_description& aOptions)
{
  aOptions.add_options()("entry",
                         po::value<std::string>()->required(),
                         "IP:PORT of an entry instance or the balancer")(
    "timeout-ms",
    po::value<std::int64_t>()->default_value(kDefaultTimeoutMs),
    "time limit for the response, in milliseconds")(
    "output", po::value<std::string>()->default_value("text"), "text or json");
}

base::Result<http::Response>
CallEntry(const po::variables_map& aOptions,
          const http::ClientRequest& aRequest)
{
  BOOST_OUTCOME_TRY(address,
                    ParseEntryAddress(aOptions["entry"].as<std::string>()));
  return CallEntry(
    address, aRequest, aOptions["timeout-ms"].as<std::int64_t>());
}

base::Result<http::Response>
CallEntry(const EntryAddress& aAddress,
          const http::ClientRequest& aRequest,
          std::int64_t aTimeoutMs)
{
  const base::Clock& clock = base::GetBootClock();
  http::ClientOptions options;
  options.mAddress = aAddress.mIp;
  options.mPort = aAddress.mPort;
  const auto client = http::CreateClient(options, clock);
  auto response =
    client->Call(aRequest, clock.Now() + std::chrono::milliseconds(aTimeoutMs));
  const bool isOutcomeUnknown =
    !response && (response.error().mKind == ErrorKind::DeadlineExceeded ||
                  response.error().mKind == ErrorKind::ConnectionLost);
  // The instance may have received the request, even if the error table marks
  // the kind as "not run", as it does for DeadlineExceeded.
  return isOutcomeUnknown
           ? base::Result<http::Response>(
               MakeError(ErrorKind::OutcomeUnknown, response.error().mDetail))
           : std::move(response);
}

base::Result<void>
AddCredential(const po::variables_map& aOptions, http::ClientRequest& aRequest)
{
  if (aOptions.count("credential-file") == 0) {
    return BOOST_OUTCOME_V2_NAMESPACE::success();
  }
  BOOST_OUTCOME_TRY(text,
                    ReadFile(aOptions["credential-file"].as<std::string>()));
  while (!text.empty() && (text.back() == '\n' || text.back() == '\r')) {
    text.pop_back();
  }
  aRequest.mHeaders.push_back({ "Authorization", "Bearer " + text });
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

ExitCode
PrintResponse(const po::variables_map& aOptions,
              const base::Result<http::Response>& aResponse)
{
  if (!aResponse) {
    return PrintError(aOptions, aResponse.error());
  }
  const http::Response& response = aResponse.value();
  const auto value = base::ParseJson(response.mBody);
  if (IsJsonOutput(aOptions) || !value) {
    std::cout << response.mBody << "\n";
  } else {
    PrintFields(value.value());
  }
  const bool isSuccess = response.mStatus >= 200 && response.mStatus < 300;
  return isSuccess ? ExitCode::Success : ExitCode::Failure;
}

ExitCode
PrintError(const po::variables_map& aOptions, const base::Error& aError)
{
  if (IsJsonOutput(aOptions)) {
    std::cout << http::FormatErrorBody(aError) << "\n";
  } else {
    std::cerr << base::NameOf(aError.mKind) << ": " << aError.mDetail << "\n";
  }
  return ExitCode::Failure;
}

base::Result<std::string>
ReadFile(const std::string& aPath)
{
  std::ifstream file(aPath, std::ios::binary);
  if (!file) {
    return MakeError(ErrorKind::InvalidArgument, "cannot read " + aPath);
  }
  return std::string(std::istreambuf_iterator<char>(file), {});
}

} // namespace skylarkhill::cli
