//! Help texts.

/// The whole program's.
pub const PROGRAM: &str = "\
Usage: shelfjunction COMMAND [OPTIONS]

Programs of a machine:
  gateway                  serve callers and operators over HTTP
  controller               watch the fleet, distribute bundles, order engines
  node                     both in one process, for forwarded requests on the users' platform

Commands of an operator:
  bundle validate FILE     check a bundle before anybody sees it
  bundle keygen            make a signing key, a token or a cache secret
  bundle propose FILE      hand a bundle to a gateway
  bundle sign PROPOSAL     add a signature to a proposal
  bundle rollout PROPOSAL  bring a signed proposal into force
  bundle rollback          bring an earlier generation's content back
  bundle history           list what was in force, and who brought it in
  bundle show              print a bundle
  status                   what a gateway knows of itself and the nodes
  engines                  engines with role, load and order state
  usage                    use by tenant
  requests show ID         one request
  explain ID FILE...       the course of a request out of the nodes' logs
  duties                   usage reports and the plan of engines, as a node sees them
  quarantine               requests that crashed engines, and how to lift their quarantine
  cordons                  engines that operators have left alone, and how to change that
  pool-engines             engines as a node on the users' platform knows them
  regions                  regions as a node on the users' platform knows them
  requests cancel ID       end one request

Options:
  -h, --help               print this text, or a command's with COMMAND --help
  -V, --version            print the version

Exit codes: 0 done, 1 refused or failed, 2 wrong usage or settings.

Example:
  shelfjunction bundle validate examples/pharmacy/bundle.toml
";

/// `gateway`.
pub const GATEWAY: &str = "\
Usage: shelfjunction gateway --settings FILE [OPTIONS]

Serves callers and operators over HTTP until SIGTERM or SIGINT, then finishes every stream and ends.

Example:
  shelfjunction gateway --settings examples/pharmacy/sthlm-a-gateway.toml --check";

/// `controller`.
pub const CONTROLLER: &str = "\
Usage: shelfjunction controller --settings FILE [OPTIONS]

Watches the fleet, distributes bundles and orders the zone's engines while it holds the lease, until SIGTERM or SIGINT.

Example:
  shelfjunction controller --settings examples/pharmacy/sthlm-a-controller.toml --check";

/// `node`.
pub const NODE: &str = "\
Usage: shelfjunction node [--settings FILE] [OPTIONS]

Forwards callers' requests to engines until SIGTERM or SIGINT, then finishes every request and ends. Without --settings
the variable SHELFJUNCTION_CONFIG names the file.

Example:
  shelfjunction node --settings examples/node.toml --check";

/// `explain`.
pub const EXPLAIN: &str = "\
Usage: shelfjunction explain REQUEST FILE...

Prints what the logs in the files say of a request, in the order of time: what its nodes knew before, its course, and the engines that
crashed under other attempts of the same content.

Example:
  shelfjunction explain 9c41d07be2a35f68 node-1.log node-2.log";

/// `quarantine`.
pub const QUARANTINE: &str = "\
Usage: shelfjunction quarantine --node IP:PORT [--json | --lift FINGERPRINT]

Prints the requests under which engines crashed, as a node on the users' platform knows them: those that run alone and those that
are refused, by the digest of what they ask for. --lift lets one run again, at every node.

Example:
  shelfjunction quarantine --node 10.1.0.38:7395
  shelfjunction quarantine --node 10.1.0.38:7395 --lift 5c1e07a291bd3f06e4402b7d9c41d07b";

/// `cordons`.
pub const CORDONS: &str = "\
Usage: shelfjunction cordons --node IP:PORT [--json]
       shelfjunction cordons --node IP:PORT --cordon TARGET --by NAME --seconds N [--force]
       shelfjunction cordons --node IP:PORT --lift TARGET

Prints the engines that operators have the nodes on the users' platform leave alone, adds a cordon or lifts one, at every node.
TARGET is engine/NAME, zone/POOL/ZONE or region/REGION. A cordon lifts itself after its time; what runs at an engine goes on.
Where no other engine can take a request a cordoned one does, unless --force was given, which is also needed to leave alone more
than half of a pool's engines. While a region is cordoned, its nodes offer their requests to other regions first.

Example:
  shelfjunction cordons --node 10.1.0.38:7395 --cordon engine/i-7f3a91c2 --by alice --seconds 600
  shelfjunction cordons --node 10.1.0.38:7395 --cordon region/east --by alice --seconds 3600
  shelfjunction cordons --node 10.1.0.38:7395 --lift engine/i-7f3a91c2";

/// `regions`.
pub const REGIONS: &str = "\
Usage: shelfjunction regions --node IP:PORT [--json]

Prints the regions of a deployment as a node on the users' platform knows them: other nodes heard, placers, engines in use that take
work, measured round trip and its age, requests of the node placed on engines there, and whether the region is cordoned.

Example:
  shelfjunction regions --node 10.1.0.38:7395";

/// `pool-engines`.
pub const POOL_ENGINES: &str = "\
Usage: shelfjunction pool-engines --node IP:PORT [--json]

Prints what a node on the users' platform knows of each engine: its start, what work takes there against a usual engine of its
pool, what is believed to be there, and why it gets no new work, if so.

Example:
  shelfjunction pool-engines --node 10.1.0.38:7395";

/// `duties`.
pub const DUTIES: &str = "\
Usage: shelfjunction duties --node IP:PORT [--json]

Prints what a node on the users' platform knows of the duties that one node at a time has: whether it holds the lease, the
usage of the last windows with the nodes that have not told all, and how many engines are wanted and run in each zone.

Example:
  shelfjunction duties --node 10.1.0.38:7395";

/// `bundle`.
pub const BUNDLE: &str = "\
Usage: shelfjunction bundle validate|keygen|propose|sign|rollout|rollback|history|show [OPTIONS]

Each has its own --help.

Example:
  shelfjunction bundle validate examples/pharmacy/bundle.toml
";

/// `bundle validate`.
pub const VALIDATE: &str = "\
Usage: shelfjunction bundle validate FILE [--json]

Checks a bundle (TOML, or JSON when the name ends with .json) and prints every fault, or the digest of its manifest.

Example:
  shelfjunction bundle validate examples/pharmacy/bundle.toml";

/// `bundle keygen`.
pub const KEYGEN: &str = "\
Usage: shelfjunction bundle keygen --kind operator|token|cache-secret --out FILE [--operator NAME]

Makes a secret, writes it to a new file that only its owner may read, and prints what may be made public:
  operator      Ed25519 signing key; prints the public key, for a bundle or the root keys
  token         bearer token of a tenant or an operator; prints its SHA-256, for a bundle
  cache-secret  secret that all nodes share; prints nothing

Example:
  shelfjunction bundle keygen --kind operator --operator alice --out alice.key";

/// `bundle propose`.
pub const PROPOSE: &str = "\
Usage: shelfjunction bundle propose FILE --gateway IP:PORT --token-file FILE [--base GENERATION] [--key FILE]

Hands a bundle to a gateway as a proposal for the next generation; with --key also signs it.

Example:
  shelfjunction bundle propose bundle.toml --gateway 127.0.0.1:8080 --token-file alice.token --base 7 --key alice.key";

/// `bundle sign`.
pub const SIGN: &str = "\
Usage: shelfjunction bundle sign PROPOSAL --gateway IP:PORT --token-file FILE --key FILE [--bundle FILE]

Adds a signature to a proposal. With --bundle it signs only if the proposal's content is that of the file.

Example:
  shelfjunction bundle sign 8-5f1c --gateway 127.0.0.1:8080 --token-file bob.token --key bob.key --bundle bundle.toml";

/// `bundle rollout`.
pub const ROLLOUT: &str = "\
Usage: shelfjunction bundle rollout PROPOSAL --gateway IP:PORT --token-file FILE
       shelfjunction bundle rollout --first FILE --gateway IP:PORT --key FILE [--key FILE]... [--proposal ID]

Brings a signed proposal into force. When the answer is lost, the same command again tells what became of it.
With --first: brings the first bundle onto an empty platform, signed with root keys.

Example:
  shelfjunction bundle rollout 8-5f1c --gateway 127.0.0.1:8080 --token-file alice.token";

/// `bundle rollback`.
pub const ROLLBACK: &str = "\
Usage: shelfjunction bundle rollback --to GENERATION --gateway IP:PORT --token-file FILE [--key FILE]

Proposes an earlier generation's content as a new generation. With --key also signs it and, if that signature
suffices, rolls it out.

Example:
  shelfjunction bundle rollback --to 6 --gateway 127.0.0.1:8080 --token-file alice.token --key alice.key";

/// `bundle history`.
pub const HISTORY: &str = "\
Usage: shelfjunction bundle history --gateway IP:PORT --token-file FILE [--proposals] [--json]

Lists accepted bundles, newest first; with --proposals those that wait for signatures or their rollout.

Example:
  shelfjunction bundle history --gateway 127.0.0.1:8080 --token-file alice.token";

/// `bundle show`.
pub const SHOW: &str = "\
Usage: shelfjunction bundle show --gateway IP:PORT --token-file FILE [--generation N] [--json]

Prints the bundle in force, or that of an earlier generation, as TOML that can be edited and proposed.

Example:
  shelfjunction bundle show --gateway 127.0.0.1:8080 --token-file alice.token > bundle.toml";

/// `status`.
pub const STATUS: &str = "\
Usage: shelfjunction status --gateway IP:PORT --token-file FILE [--json]

Prints the bundle in force at a gateway, how long ago it was confirmed, and the nodes it knows.

Example:
  shelfjunction status --gateway 127.0.0.1:8080 --token-file alice.token";

/// `engines`.
pub const ENGINES: &str = "\
Usage: shelfjunction engines --gateway IP:PORT --token-file FILE [--json]

Prints the engines that a gateway knows, with role, load and order state.

Example:
  shelfjunction engines --gateway 127.0.0.1:8080 --token-file alice.token";

/// `usage`.
pub const USAGE: &str = "\
Usage: shelfjunction usage --gateway IP:PORT --token-file FILE [--json]

Prints the use of one gateway by the tenants in the operator's scope.

Example:
  shelfjunction usage --gateway 127.0.0.1:8080 --token-file alice.token";

/// `requests`.
pub const REQUESTS: &str = "\
Usage: shelfjunction requests show|cancel ID --gateway IP:PORT --token-file FILE [--json]

Prints or ends one request of a tenant in the operator's scope.

Example:
  shelfjunction requests show 3f9a --gateway 127.0.0.1:8080 --token-file alice.token";
