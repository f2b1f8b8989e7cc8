package table

// Column is the header of one CSV column.
type Column string

// The columns of a table.
const (
	ColRow         Column = "row"
	ColName        Column = "name"
	ColService     Column = "service"
	ColUpstream    Column = "upstream"
	ColWeight      Column = "weight"
	ColRate        Column = "rate"
	ColConcurrency Column = "concurrency"
	ColPrefix      Column = "prefix"
	ColMethods     Column = "methods"
	ColKind        Column = "kind"
	ColKindWeight  Column = "kind_weight"
	ColTimeout     Column = "timeout_ms"
	ColRetries     Column = "retries"
	ColIdempotent  Column = "idempotent"
	ColHost        Column = "host"
	ColObjective   Column = "objective_ms"
	ColPriority    Column = "priority"
	ColSplit       Column = "split"
)

// Header lists the required columns in the order in which Format writes them.
var Header = []Column{
	ColRow, ColName, ColService, ColUpstream, ColWeight, ColRate, ColConcurrency,
	ColPrefix, ColMethods, ColKind, ColKindWeight, ColTimeout, ColRetries, ColIdempotent,
}

// Optional lists the columns that a header may omit. A row without the column is read as
// if the cell were empty.
var Optional = []Column{ColHost, ColObjective, ColPriority, ColSplit}

// RowType is the value of the row column.
type RowType string

// The row types. A table has exactly one RowTable row, with the edition in its name
// column.
const (
	RowTable    RowType = "table"
	RowService  RowType = "service"
	RowUpstream RowType = "upstream"
	RowRoute    RowType = "route"
)

// allowedColumns lists the columns in which a row of each type may have a value.
var allowedColumns = map[RowType][]Column{
	RowTable:    {ColRow, ColName},
	RowService:  {ColRow, ColName, ColRate, ColConcurrency},
	RowUpstream: {ColRow, ColName, ColService, ColWeight, ColRate, ColConcurrency},
	RowRoute: {ColRow, ColName, ColService, ColUpstream, ColPrefix, ColMethods,
		ColKind, ColKindWeight, ColTimeout, ColRetries, ColIdempotent,
		ColHost, ColObjective, ColPriority, ColSplit},
}
