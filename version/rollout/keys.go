package rollout

import "fmt"

// Keys and key prefixes of the log's rows in the platform's table.
const (
	headKey          = "rollout/head"
	checkpointKey    = "rollout/checkpoint"
	versionPrefix    = "rollout/version/"
	changePrefix     = "rollout/change/"
	deltaPartPrefix  = "rollout/part/"
	checkpointPrefix = "rollout/table/"
)

func versionKey(version uint64) string { return fmt.Sprintf("%s%020d", versionPrefix, version) }

func changeKey(id string) string { return changePrefix + id }

func deltaPartKey(id string, part int) string {
	return fmt.Sprintf("%s%s/%06d", deltaPartPrefix, id, part)
}

func checkpointPartPrefix(version uint64) string {
	return fmt.Sprintf("%s%020d/", checkpointPrefix, version)
}

func checkpointPartKey(version uint64, part int) string {
	return fmt.Sprintf("%s%06d", checkpointPartPrefix(version), part)
}
