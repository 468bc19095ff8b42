"""Golden files of the formats that must stay compatible with other builds, stored data and other programs."""
