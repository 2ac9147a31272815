//! The origins of streams, as nodes of fleets of several sizes are lost.

use std::collections::HashSet;
use std::collections::VecDeque;
use std::net::SocketAddr;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use redwingrill_routing::SoftwareVersion;
use redwingrill_scheduling::coordination::GroupNode;
use redwingrill_scheduling::stream_origins::OWNERS_PER_STREAM;
use redwingrill_scheduling::stream_origins::OriginDirectory;
use redwingrill_scheduling::stream_origins::OriginMemory;
use redwingrill_scheduling::stream_origins::OriginMessage;
use redwingrill_scheduling::stream_origins::OriginResolution;
use redwingrill_scheduling::stream_origins::OriginSource;
use redwingrill_scheduling::stream_origins::Recollection;
use redwingrill_scheduling::stream_origins::StreamKey;
use redwingrill_scheduling::stream_origins::StreamOrigin;
use redwingrill_scheduling::stream_origins::owners;

const TICK_MS: u64 = 20;

/// The headers of a datagram over IPv4, and its kind.
const HEADER_BYTES: usize = 29;

/// The sizes of the failure domains of fleets.
const FLEETS: [&[usize]; 3] = [&[3, 2, 2], &[30, 30, 28], &[80, 80, 80, 40, 20, 20]];

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: "chat-large".to_owned(),
        software: Some(SoftwareVersion(version.to_owned())),
    }
}

fn known(version: &str) -> Recollection {
    Recollection::Known(origin(version))
}

fn address(index: usize) -> SocketAddr {
    ([10, 0, (index >> 8) as u8, index as u8], 7_001).into()
}

fn index_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { panic!("nodes have addresses of four bytes") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

fn nodes(domains: &[usize]) -> Vec<GroupNode> {
    let nodes = domains.iter().enumerate().flat_map(|(domain, size)| {
        (0..*size).map(move |n| (format!("front-{domain}-{n}"), format!("domain-{domain}")))
    });
    let nodes = nodes.enumerate().map(|(index, (name, failure_domain))| GroupNode {
        name,
        failure_domain,
        link_mbps: 20,
        address: address(index),
    });
    nodes.collect()
}

/// Nodes whose datagrams arrive at once, or never if the receiver was lost.
struct Fleet {
    nodes: Vec<GroupNode>,
    directories: Vec<Option<OriginDirectory<u64>>>,
    now_ms: u64,
    messages: usize,
    bytes: usize,
    largest_bytes: usize,
}

impl Fleet {
    fn new(domains: &[usize], is_published: bool) -> Self {
        let nodes = nodes(domains);
        let directories = (0..nodes.len()).map(|index| {
            let mut directory = OriginDirectory::default();
            directory.set_nodes(nodes.clone(), Some(address(index)));
            directory.set_retention_ms(130_000);
            directory.set_published(is_published);
            Some(directory)
        });
        let directories = directories.collect();
        Self { nodes, directories, now_ms: 1_000, messages: 0, bytes: 0, largest_bytes: 0 }
    }

    fn node(&mut self, index: usize) -> &mut OriginDirectory<u64> {
        self.directories[index].as_mut().expect("the node is alive")
    }

    fn begin_stream(&mut self, node: usize, stream: u64, version: &str) {
        let now_ms = self.now_ms;
        self.node(node).record(StreamKey::of(&stream.to_string()), &origin(version), now_ms);
    }

    fn look_up(&mut self, node: usize, stream: u64) {
        let now_ms = self.now_ms;
        self.node(node).begin(StreamKey::of(&stream.to_string()), stream, now_ms);
    }

    fn lose(&mut self, lost: &[usize]) {
        for index in lost {
            self.directories[*index] = None;
        }
    }

    fn survivors(&self) -> Vec<usize> {
        (0..self.nodes.len()).filter(|index| self.directories[*index].is_some()).collect()
    }

    /// Lets the nodes know who is left.
    fn list_survivors(&mut self) {
        let survivors = self.survivors();
        let listed: Vec<GroupNode> =
            survivors.iter().map(|index| self.nodes[*index].clone()).collect();
        for index in survivors {
            self.node(index).set_nodes(listed.clone(), Some(address(index)));
        }
    }

    fn run_ms(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms.div_ceil(TICK_MS) {
            self.now_ms += TICK_MS;
            let now_ms = self.now_ms;
            for directory in self.directories.iter_mut().flatten() {
                directory.tick(now_ms);
            }
            self.deliver();
        }
    }

    fn deliver(&mut self) {
        let mut on_the_way: VecDeque<(usize, SocketAddr, OriginMessage)> = VecDeque::new();
        for from in self.survivors() {
            let sent = self.node(from).take_outgoing().into_iter();
            on_the_way.extend(sent.map(|(to, message)| (from, to, message)));
        }
        while let Some((from, to, message)) = on_the_way.pop_front() {
            let bytes = postcard::to_allocvec(&message).expect("a message always serializes").len();
            self.messages += 1;
            self.bytes += bytes + HEADER_BYTES;
            self.largest_bytes = self.largest_bytes.max(bytes + 1);
            let (to, now_ms) = (index_of(to), self.now_ms);
            let Some(receiver) = &mut self.directories[to] else { continue };
            receiver.receive(address(from), message, now_ms);
            let sent = receiver.take_outgoing().into_iter();
            on_the_way.extend(sent.map(|(next, message)| (to, next, message)));
        }
    }

    /// Looks streams up at random nodes, and returns the share that is found.
    fn found_share(&mut self, streams: u64, rng: &mut StdRng) -> f64 {
        let survivors = self.survivors();
        for stream in 0..streams {
            let node = survivors[rng.random_range(0..survivors.len())];
            self.look_up(node, stream);
        }
        self.deliver();
        self.run_ms(100);
        let mut found = 0;
        let mut ended = 0;
        for index in survivors {
            for resolved in self.node(index).take_resolved() {
                ended += 1;
                if let OriginResolution::Known { origin: found_origin, .. } = resolved.resolution {
                    assert_eq!(found_origin, origin(version_of(resolved.handle)));
                    found += 1;
                }
            }
        }
        assert_eq!(ended, streams, "a lookup takes 100 ms at most");
        found as f64 / streams as f64
    }
}

fn version_of(stream: u64) -> &'static str {
    if stream.is_multiple_of(3) { "v1" } else { "v1.1" }
}

fn fleet_with_streams(domains: &[usize], streams: u64, rng: &mut StdRng) -> Fleet {
    let mut fleet = Fleet::new(domains, true);
    for stream in 0..streams {
        let node = rng.random_range(0..fleet.nodes.len());
        fleet.begin_stream(node, stream, version_of(stream));
    }
    fleet.run_ms(40);
    fleet
}

#[test]
fn streams_are_lost_with_the_nodes_that_began_them() {
    const STREAMS: u64 = 4_000;
    for domains in FLEETS {
        for percent in [0, 60, 80] {
            for seed in 0..3 {
                let mut rng = StdRng::seed_from_u64(seed);
                let mut fleet = fleet_with_streams(domains, STREAMS, &mut rng);
                let count = fleet.nodes.len();
                let lost = (count * percent / 100).max(1);
                let mut order: Vec<usize> = (0..count).collect();
                order.shuffle(&mut rng);
                fleet.lose(&order[..lost]);
                let share = fleet.found_share(STREAMS, &mut rng);
                fleet.list_survivors();
                let listed_share = fleet.found_share(STREAMS, &mut rng);
                let bound = 1.0 - (lost as f64 / count as f64).powi(OWNERS_PER_STREAM as i32);
                println!(
                    "{lost} of {count} nodes lost, seed {seed}: {share:.3} found, \
                     {listed_share:.3} once they are not listed; bound {bound:.3}"
                );
                assert!(share >= bound - 0.02, "{lost} of {count}, seed {seed}: {share}");
                assert!(listed_share >= share - 0.02, "{lost} of {count}, seed {seed}");
            }
        }
    }
}

#[test]
fn streams_are_lost_with_a_failure_domain() {
    for domains in FLEETS {
        let mut rng = StdRng::seed_from_u64(4);
        let mut fleet = fleet_with_streams(domains, 2_000, &mut rng);
        let lost: Vec<usize> = (0..domains[0]).collect();
        fleet.lose(&lost);
        assert_eq!(fleet.found_share(2_000, &mut rng), 1.0, "{domains:?}");
    }
}

#[test]
fn telling_of_streams_fills_the_links_between_nodes() {
    const STREAMS_PER_S: u64 = 7_900;
    const SECONDS: u64 = 3;
    let mut rng = StdRng::seed_from_u64(5);
    let mut fleet = Fleet::new(FLEETS[2], true);
    let count = fleet.nodes.len();
    for stream in 0..STREAMS_PER_S * SECONDS {
        let node = rng.random_range(0..count);
        fleet.begin_stream(node, stream, version_of(stream));
        if stream % (STREAMS_PER_S * TICK_MS / 1_000) == 0 {
            fleet.run_ms(TICK_MS);
        }
    }
    let per_node_s = (count as u64 * SECONDS) as f64;
    let (messages, bytes) = (fleet.messages as f64 / per_node_s, fleet.bytes as f64 / per_node_s);
    let remembered = fleet.directories.iter().flatten().map(OriginDirectory::remembered);
    let most = remembered.map(|(begun, owned)| begun + owned).max().unwrap_or(0);
    println!("{messages:.1} messages and {bytes:.0} bytes per node and second");
    println!("at most {most} streams remembered by a node in {SECONDS} s");
    assert!(bytes < 6_000.0, "{bytes} bytes per node and second");
    let mean = (STREAMS_PER_S * SECONDS) as usize * (OWNERS_PER_STREAM + 1) / count;
    assert!(most < mean * 2, "{most} streams at a node, {mean} in the mean");
}

#[test]
fn streams_of_before_a_release_are_not_found_during_it() {
    for domains in FLEETS {
        let mut rng = StdRng::seed_from_u64(6);
        let mut fleet = Fleet::new(domains, false);
        let (count, streams) = (fleet.nodes.len(), 20 * domains.iter().sum::<usize>() as u64);
        for stream in 0..streams {
            fleet.begin_stream(rng.random_range(0..count), stream, version_of(stream));
        }
        fleet.run_ms(100);
        assert_eq!(fleet.messages, 0, "nothing is told while one version serves");
        for index in 0..count {
            fleet.node(index).set_published(true);
        }
        fleet.run_ms(2_000);
        let bytes = fleet.bytes / count;
        println!("{count} nodes: {bytes} bytes per node for 20 streams of before");
        assert!(
            fleet.survivors().iter().all(|index| fleet.directories[*index]
                .as_ref()
                .is_some_and(OriginDirectory::is_idle))
        );
        assert_eq!(fleet.found_share(streams, &mut rng), 1.0);
    }
}

#[test]
fn node_that_was_started_again_denies_streams_that_others_know() {
    let mut rng = StdRng::seed_from_u64(7);
    let mut fleet = fleet_with_streams(FLEETS[0], 500, &mut rng);
    for index in [0, 3] {
        let mut started = OriginDirectory::default();
        started.set_nodes(fleet.nodes.clone(), Some(address(index)));
        fleet.directories[index] = Some(started);
    }
    assert_eq!(fleet.found_share(500, &mut rng), 1.0);
}

/// What the owners of a stream answer, and what comes of it.
struct AnswersCase {
    name: &'static str,
    // By owner, with the time in milliseconds; `None` if it is silent.
    answers: [Option<(u64, Recollection)>; OWNERS_PER_STREAM],
    expected: OriginResolution,
    // When the lookup has ended, in milliseconds.
    ends_ms: u64,
    queries: usize,
}

fn unknown(is_contradicted: bool) -> OriginResolution {
    OriginResolution::Unknown { is_contradicted }
}

fn found(version: &str) -> OriginResolution {
    OriginResolution::Known { origin: origin(version), source: OriginSource::Owners }
}

#[test]
fn lookup_follows_the_answers() {
    let cases = [
        AnswersCase {
            name: "all know",
            answers: [Some((1, known("v1"))), Some((2, known("v1"))), Some((3, known("v1")))],
            expected: found("v1"),
            ends_ms: 3,
            queries: 3,
        },
        AnswersCase {
            name: "one knows, two are new",
            answers: [
                Some((1, Recollection::Unknown)),
                Some((2, known("v1"))),
                Some((2, Recollection::Unknown)),
            ],
            expected: found("v1"),
            ends_ms: 2,
            queries: 3,
        },
        AnswersCase {
            name: "one knows, two are lost",
            answers: [None, Some((25, known("v1"))), None],
            expected: found("v1"),
            ends_ms: 40,
            queries: 6,
        },
        AnswersCase {
            name: "none knows",
            answers: [
                Some((1, Recollection::Unknown)),
                Some((1, Recollection::Unknown)),
                Some((4, Recollection::Unknown)),
            ],
            expected: unknown(false),
            ends_ms: 4,
            queries: 3,
        },
        AnswersCase {
            name: "all are lost",
            answers: [None, None, None],
            expected: unknown(false),
            ends_ms: 100,
            queries: 15,
        },
        AnswersCase {
            name: "one knows too late",
            answers: [Some((1, Recollection::Unknown)), Some((120, known("v1"))), None],
            expected: unknown(false),
            ends_ms: 100,
            queries: 11,
        },
        AnswersCase {
            name: "two name different versions",
            answers: [Some((1, known("v1"))), Some((2, known("v1.1"))), None],
            expected: unknown(true),
            ends_ms: 2,
            queries: 3,
        },
        AnswersCase {
            name: "one was told of different versions",
            answers: [Some((1, Recollection::Contradicted)), None, None],
            expected: unknown(true),
            ends_ms: 1,
            queries: 3,
        },
    ];
    let key = StreamKey::of("stream");
    let nodes = nodes(&[3, 3, 3]);
    let owners = owners(key, &nodes, OWNERS_PER_STREAM);
    for case in cases {
        let own = (0..nodes.len()).find(|index| !owners.contains(index)).expect("six are none");
        let mut directory = OriginDirectory::default();
        directory.set_nodes(nodes.clone(), Some(address(own)));
        directory.begin(key, 1, 0);
        directory.begin(key, 2, 0);
        let mut queries = directory.take_outgoing().len();
        let mut ended = Vec::new();
        for now_ms in 0..=140 {
            for (owner, answer) in owners.iter().zip(&case.answers) {
                if let Some((_, recollection)) =
                    answer.as_ref().filter(|(at_ms, _)| *at_ms == now_ms)
                {
                    let recollection = recollection.clone();
                    let message = OriginMessage::Answer { key, recollection };
                    directory.receive(address(*owner), message, now_ms);
                }
            }
            if now_ms > 0 && now_ms % TICK_MS == 0 {
                directory.tick(now_ms);
            }
            queries += directory.take_outgoing().len();
            let resolved = directory.take_resolved().into_iter();
            ended.extend(resolved.map(|resolved| (now_ms, resolved.handle, resolved.resolution)));
        }
        let (ends_ms, expected) = (case.ends_ms, case.expected);
        let all = vec![(ends_ms, 1, expected.clone()), (ends_ms, 2, expected)];
        assert_eq!(ended, all, "{}", case.name);
        assert_eq!(queries, case.queries, "{}", case.name);
        assert!(directory.is_idle(), "{}", case.name);
    }
}

#[test]
fn answer_of_a_stranger_decides_a_lookup() {
    let key = StreamKey::of("stream");
    let nodes = nodes(&[3, 3, 3]);
    let owners = owners(key, &nodes, OWNERS_PER_STREAM);
    let others: Vec<usize> = (0..nodes.len()).filter(|index| !owners.contains(index)).collect();
    let mut directory = OriginDirectory::default();
    directory.set_nodes(nodes, Some(address(others[0])));
    directory.begin(key, 1, 0);
    let message = OriginMessage::Answer { key, recollection: known("v1") };
    directory.receive(address(others[1]), message, 1);
    directory.tick(40);
    assert_eq!(directory.take_resolved(), []);
    assert_eq!(directory.pending(), 1);
}

#[test]
fn node_asks_others_for_a_stream_that_it_knows() {
    let mut fleet = Fleet::new(FLEETS[0], true);
    fleet.begin_stream(1, 7, "v1");
    fleet.look_up(1, 7);
    let resolved = fleet.node(1).take_resolved();
    let own = OriginResolution::Known { origin: origin("v1"), source: OriginSource::Own };
    assert_eq!(resolved.into_iter().map(|r| r.resolution).collect::<Vec<_>>(), [own]);
    assert_eq!(fleet.node(1).take_outgoing(), []);
}

#[test]
fn identifier_of_two_streams_names_one_of_their_versions() {
    let mut fleet = Fleet::new(FLEETS[1], true);
    fleet.begin_stream(1, 7, "v1");
    fleet.begin_stream(2, 7, "v1.1");
    fleet.run_ms(40);
    fleet.look_up(3, 7);
    fleet.deliver();
    fleet.run_ms(100);
    let resolved = fleet.node(3).take_resolved();
    assert_eq!(resolved.into_iter().map(|r| r.resolution).collect::<Vec<_>>(), [unknown(true)]);
}

#[test]
fn node_alone_waits_for_owners() {
    let mut directory: OriginDirectory<u64> = OriginDirectory::default();
    directory.begin(StreamKey::of("stream"), 1, 0);
    let resolved = directory.take_resolved();
    assert_eq!(resolved.into_iter().map(|r| r.resolution).collect::<Vec<_>>(), [unknown(false)]);
}

#[test]
fn told_streams_outgrow_a_datagram() {
    for (service_bytes, software_bytes) in [(1, 1), (40, 60), (250, 250), (250, 1_000)] {
        let mut directory: OriginDirectory<u64> = OriginDirectory::default();
        directory.set_nodes(nodes(&[2]), Some(address(0)));
        directory.set_published(true);
        let streams = 0..1_000_u64;
        for stream in streams.clone() {
            let origin = StreamOrigin {
                service: "s".repeat(service_bytes),
                software: Some(SoftwareVersion(format!("{stream:0software_bytes$}"))),
            };
            directory.record(StreamKey(u64::MAX - stream), &origin, 1_000);
        }
        directory.tick(1_020);
        let query = OriginMessage::Query(StreamKey(u64::MAX));
        directory.receive(address(1), query, 1_020);
        let sizes = directory.take_outgoing().into_iter().map(|(_, message)| {
            postcard::to_allocvec(&message).expect("a message always serializes").len()
        });
        let largest = sizes.max().unwrap_or(0);
        assert!(largest > 0 && largest < 1_200, "{service_bytes}, {software_bytes}: {largest}");
    }
}

#[test]
fn owners_change_as_other_nodes_leave() {
    let mut rng = StdRng::seed_from_u64(8);
    for domains in [&[7][..], &[4, 3], &[3, 2, 2], &[30, 30, 28]] {
        for stream in 0..200 {
            let key = StreamKey(rng.random());
            let mut listed = nodes(domains);
            let name_of = |index: usize, listed: &[GroupNode]| listed[index].name.clone();
            while listed.len() > OWNERS_PER_STREAM {
                let before = owners(key, &listed, OWNERS_PER_STREAM);
                let before: HashSet<_> = before.iter().map(|i| name_of(*i, &listed)).collect();
                let left = listed.remove(rng.random_range(0..listed.len())).name;
                let after = owners(key, &listed, OWNERS_PER_STREAM);
                let after: HashSet<_> = after.iter().map(|i| name_of(*i, &listed)).collect();
                let mut remaining = before.iter().filter(|name| **name != left);
                assert!(remaining.all(|name| after.contains(name)), "{domains:?}, {stream}");
            }
        }
    }
}

/// What a memory keeps.
struct MemoryCase {
    name: &'static str,
    // Number of the stream, version, time in milliseconds.
    remembered: &'static [(u64, &'static str, u64)],
    // Number of the stream, time in milliseconds, what is known.
    recalled: &'static [(u64, u64, Option<&'static str>)],
    len: usize,
}

#[test]
fn memory_keeps_recent_streams() {
    let cases = [
        MemoryCase {
            name: "until they expire",
            remembered: &[(1, "v1", 0), (2, "v2", 50)],
            recalled: &[(1, 99, Some("v1")), (1, 100, None), (2, 149, Some("v2")), (3, 0, None)],
            len: 2,
        },
        MemoryCase {
            name: "no longer than they are needed",
            remembered: &[(1, "v1", 0), (2, "v1", 10), (3, "v1", 100)],
            recalled: &[(1, 100, None), (2, 109, Some("v1"))],
            len: 2,
        },
        MemoryCase {
            name: "longer if they are told again",
            remembered: &[(1, "v1", 0), (1, "v1", 80), (2, "v1", 110)],
            recalled: &[(1, 179, Some("v1"))],
            len: 2,
        },
        MemoryCase {
            name: "within the limit, the oldest goes",
            remembered: &[(1, "v1", 0), (2, "v1", 1), (3, "v1", 2), (4, "v1", 3), (5, "v1", 4)],
            recalled: &[(1, 5, None), (2, 5, Some("v1")), (5, 5, Some("v1"))],
            len: 4,
        },
        MemoryCase {
            name: "within the limit although one is told again",
            remembered: &[(1, "v1", 0), (2, "v1", 1), (1, "v1", 2), (3, "v1", 3), (4, "v1", 4)],
            recalled: &[(1, 5, Some("v1")), (2, 5, Some("v1")), (4, 5, Some("v1"))],
            len: 4,
        },
    ];
    for case in cases {
        let mut memory = OriginMemory::new(4);
        for (stream, version, now_ms) in case.remembered {
            memory.remember(StreamKey(*stream), &origin(version), 100, *now_ms);
        }
        assert_eq!(memory.len(), case.len, "{}", case.name);
        for (stream, now_ms, version) in case.recalled {
            let expected = version.map_or(Recollection::Unknown, known);
            assert_eq!(memory.recall(StreamKey(*stream), *now_ms), expected, "{}", case.name);
        }
    }
}
