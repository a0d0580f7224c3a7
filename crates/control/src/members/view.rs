//! What other parts of the process read of the fleet's liveness.

use std::net::SocketAddr;

use membership::{BalancerInfo, Condition, Member, MemberId, Members};
use units::{EndpointId, Incarnation, InstanceId};

/// What other parts of the process read of the fleet's liveness; never changed once published.
#[derive(Debug, Clone, Default)]
pub struct MembersView {
    /// Endpoints with their agents, sorted.
    pub endpoints: Vec<EndpointState>,
    /// Other balancers, sorted by name.
    pub balancers: Vec<BalancerState>,
}

/// One endpoint's agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndpointState {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The run of its agent, 0 before it answered.
    pub incarnation: Incarnation,
    /// Whether it answers.
    pub condition: Condition,
    /// Whether it takes no new work.
    pub is_leaving: bool,
}

/// One other balancer.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct BalancerState {
    /// Its name.
    pub name: InstanceId,
    /// Where it receives tunnel datagrams.
    pub address: SocketAddr,
    /// Where it is called.
    pub control_address: SocketAddr,
    /// Its run.
    pub incarnation: Incarnation,
    /// Whether it answers.
    pub condition: Condition,
    /// Whether it takes no new work.
    pub is_leaving: bool,
}

impl MembersView {
    /// Copies what others need from the core.
    pub(super) fn new(core: &Members) -> Self {
        let mut view = Self::default();
        for member in core.iter() {
            match (member.id, &member.balancer_info) {
                (MemberId::Agent(endpoint), _) => {
                    view.endpoints.push(endpoint_state(endpoint, member));
                }
                (MemberId::Balancer(_), Some(it)) => {
                    view.balancers.push(balancer_state(it, member));
                }
                (MemberId::Balancer(_), None) => {}
            }
        }
        view.balancers.sort_by(|a, b| a.name.cmp(&b.name));
        view
    }

    /// Finds an endpoint.
    #[must_use]
    pub fn find_endpoint(&self, endpoint: EndpointId) -> Option<&EndpointState> {
        let idx = self
            .endpoints
            .binary_search_by_key(&endpoint, |it| it.endpoint)
            .ok()?;
        Some(&self.endpoints[idx])
    }

    /// Returns the control addresses of balancers that are not dead, in the order of names.
    #[must_use]
    pub fn control_addresses(&self) -> Vec<SocketAddr> {
        let balancers = self.balancers.iter();
        let balancers = balancers.filter(|it| it.condition != Condition::Dead);
        balancers.map(|it| it.control_address).collect()
    }
}

const fn endpoint_state(endpoint: EndpointId, member: &Member) -> EndpointState {
    EndpointState {
        endpoint,
        incarnation: member.version.incarnation,
        condition: member.condition,
        is_leaving: member.is_leaving,
    }
}

fn balancer_state(introduction: &BalancerInfo, member: &Member) -> BalancerState {
    BalancerState {
        name: introduction.name.clone(),
        address: introduction.address,
        control_address: introduction.control_address,
        incarnation: member.version.incarnation,
        condition: member.condition,
        is_leaving: member.is_leaving,
    }
}
