"""How large a hollow deployment is, and what follows from that."""

import attrs

FULL_FRONTS = 390
FULL_REPLICAS = 830
FULL_ACCELERATORS = 3_300
FULL_REQUESTS_PER_S = 7_200.0
FULL_ANSWER_TOKENS_PER_S = 1_700_000.0
FULL_MODELS = 22
FULL_ROUTES = 2_500
FULL_CHANGES_A_DAY = 1_400
HOME_BOUND_SHARE = 0.29
LEAST_MODELS = 4
PROMPT_TOKENS = 800.0


@attrs.frozen
class HollowSize:
    """Fronts and replicas; traffic scales with the fronts, models with the replicas.

    A route is a tenant's. Their number is not scaled, so that the configuration document
    is as large at every size.
    """

    fronts: int = FULL_FRONTS
    replicas: int = FULL_REPLICAS
    routes: int = FULL_ROUTES

    @property
    def models(self) -> int:
        """The models in use."""
        return max(LEAST_MODELS, round(FULL_MODELS * self.replicas / FULL_REPLICAS))

    @property
    def accelerators(self) -> int:
        """The accelerators of all replicas together."""
        return round(FULL_ACCELERATORS * self.replicas / FULL_REPLICAS)

    @property
    def requests_per_s(self) -> float:
        """Requests at the peak, of all regions."""
        return FULL_REQUESTS_PER_S * self.fronts / FULL_FRONTS

    @property
    def answer_tokens(self) -> float:
        """Tokens of one answer."""
        return FULL_ANSWER_TOKENS_PER_S / FULL_REQUESTS_PER_S
